"""HTTP servers."""
