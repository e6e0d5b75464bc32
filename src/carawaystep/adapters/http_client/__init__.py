"""HTTP client of the platform and worker adapters."""
