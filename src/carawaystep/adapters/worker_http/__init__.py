"""HTTP client of workers."""
