"""The workflow aggregate: steps with tasks that run on workers."""
