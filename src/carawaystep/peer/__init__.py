"""Interfaces and messages between entry processes (peers)."""
