"""Which queue a call belongs to, and the version that says so."""
