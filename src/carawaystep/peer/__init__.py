"""Messages between entry processes."""
