"""The tasks of a scheduler process and their composition."""
