"""Scheduler process: leader election, planning and calls to workers."""
