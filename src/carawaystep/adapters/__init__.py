"""Ports of an entry over HTTP and ZeroMQ, HTTP front end, logs and metrics."""
