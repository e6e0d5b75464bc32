"""HTTP client on which the platform and worker adapters are built."""
