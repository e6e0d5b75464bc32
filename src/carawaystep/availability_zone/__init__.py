"""The availability zone aggregate: loads of peers and the VM list."""
