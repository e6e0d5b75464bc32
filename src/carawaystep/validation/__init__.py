"""Validation of YAML text against pydantic models, with positions."""
