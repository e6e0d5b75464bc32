"""Randomised runs over processes that try to break the invariants."""
