"""Routing of calls to queues by versioned route tables."""
