"""Ports to the platform's table service and object store."""
