"""Checks of a configuration that need no running system."""
