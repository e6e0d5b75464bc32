"""The workflow aggregate: a job of steps, whose tasks run on workers."""
