"""Events of one process, for the time line over all processes."""
