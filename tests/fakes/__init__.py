"""Small fakes at the ports of an entry, in one event loop."""
