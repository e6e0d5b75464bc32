"""The worker aggregate: capacity, reservations, ownership and leases."""
