"""Loads of peers and the VM list, over all availability zones."""
