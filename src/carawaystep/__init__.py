"""Scheduler for latency-critical and batch work on the same few VMs."""
