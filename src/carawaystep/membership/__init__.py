"""The membership aggregate: live entries and owners of workers."""
