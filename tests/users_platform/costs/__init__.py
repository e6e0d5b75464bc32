"""Processor time of what one process does on the users' platform."""
