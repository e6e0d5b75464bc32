"""Randomised fault injection into a deployment of real processes."""
