"""End of a leader's term."""

from __future__ import annotations


class TermEnded(Exception):
    """Another process was elected, or this one resigned."""
