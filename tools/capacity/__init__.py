"""Measures what an entry process costs and extrapolates to a target."""
