"""HTTP parts that both stand-ins share."""
