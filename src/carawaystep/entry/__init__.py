"""The entry process: its tasks and their composition."""
