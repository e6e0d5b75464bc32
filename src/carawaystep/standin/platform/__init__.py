"""The stand-in platform."""
