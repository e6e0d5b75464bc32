"""The membership aggregate: live entries and their owned workers."""
