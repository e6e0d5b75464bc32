"""The document aggregate: resources and limits declared per service."""
