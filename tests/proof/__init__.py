"""Randomised proof of the invariants in virtual time."""
