"""The stand-in workers."""
