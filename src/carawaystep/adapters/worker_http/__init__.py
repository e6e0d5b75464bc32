"""Client of a worker over HTTP."""
