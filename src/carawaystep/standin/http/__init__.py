"""HTTP components that both stand-ins share."""
