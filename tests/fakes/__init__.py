"""Fakes behind the ports of an entry, all in one event loop."""
