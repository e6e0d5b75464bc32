"""The document aggregate: what each service needs and may be delayed."""
