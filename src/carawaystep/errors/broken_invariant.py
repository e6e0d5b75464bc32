"""The exception for violated invariants."""

from __future__ import annotations


class BrokenInvariant(Exception):  # noqa: N818
    """An aggregate reached a state that its invariants exclude.

    All other failures are returned as values. A process that gets this
    exception logs one line and exits with code 70.
    """
