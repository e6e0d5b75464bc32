"""Messages between leader and members, and the ports that carry them."""
