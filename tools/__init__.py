"""Development tools; they may start processes."""
