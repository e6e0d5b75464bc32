"""Adapters between the ports and the network."""
