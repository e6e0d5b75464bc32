"""HTTP front end of an entry, for callers and operators."""
