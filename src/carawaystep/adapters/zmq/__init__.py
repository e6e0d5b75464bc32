"""ZeroMQ links between entry processes and between scheduler processes."""
