"""Errors that stop the process."""
