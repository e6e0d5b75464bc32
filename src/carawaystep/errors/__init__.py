"""Errors that stop a process."""
