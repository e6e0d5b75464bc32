"""Structured log on standard output."""
