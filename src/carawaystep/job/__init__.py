"""The job aggregate: states, attempts and storage of batch jobs."""
