"""One command a module."""
