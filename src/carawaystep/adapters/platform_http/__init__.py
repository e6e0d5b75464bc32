"""Client of the platform over HTTP."""
