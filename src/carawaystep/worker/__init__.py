"""The worker aggregate: capacity, reservations and ownership."""
