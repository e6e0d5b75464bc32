"""Ports to the transactional store: table service and object store."""
