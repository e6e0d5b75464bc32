"""Randomised simulation in virtual time that checks the invariants."""
