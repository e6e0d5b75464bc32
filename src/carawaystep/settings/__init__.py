"""Validation models of the settings files."""
