"""The request aggregate: admission, deduplication, retries and replies."""
