"""The job aggregate: attempts, evictions and ends of batch work."""
