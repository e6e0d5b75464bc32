"""The simulated platform: tables, objects and the VM list."""
