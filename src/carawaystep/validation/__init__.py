"""Validation of YAML text against models."""
