"""Benchmark of the processor time of a process's operations."""
