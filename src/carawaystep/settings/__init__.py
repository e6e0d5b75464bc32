"""Models of the settings files."""
