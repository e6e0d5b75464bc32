"""The checks, one class for each kind of finding."""
