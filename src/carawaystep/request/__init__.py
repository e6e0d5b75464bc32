"""The request aggregate: outcomes, admission, retries and duplicates."""
