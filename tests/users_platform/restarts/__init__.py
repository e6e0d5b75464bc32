"""Plays in which workers start again and are then cut off."""
