"""Adapters of outside systems and protocols to the ports."""
