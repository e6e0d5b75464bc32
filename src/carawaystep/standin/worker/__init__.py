"""The simulated workers."""
