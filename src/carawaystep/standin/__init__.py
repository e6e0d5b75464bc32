"""Simulated platform and workers for tests and the demo."""
