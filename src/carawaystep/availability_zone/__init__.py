"""The availability zone aggregate: loads of entries and the VM list."""
