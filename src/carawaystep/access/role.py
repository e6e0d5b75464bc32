"""Roles of a token."""

from __future__ import annotations

from enum import StrEnum


class Role(StrEnum):
    """Kinds of calls that the holder of a token may make.

    ``CALLER`` may send requests and submit jobs. ``OPERATOR`` may read and
    write service documents and query the state of an entry. Both may read
    and cancel jobs.
    """

    CALLER = "caller"
    OPERATOR = "operator"
