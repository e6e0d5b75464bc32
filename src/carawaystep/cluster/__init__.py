"""Messages between scheduler processes, and the port that carries them."""
