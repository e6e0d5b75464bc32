"""Structured logs on standard output."""
