"""Loads of peers, the VM list and evacuations, over all availability zones."""
