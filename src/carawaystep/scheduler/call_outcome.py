"""Outcome of a caller's call."""

from __future__ import annotations

from enum import StrEnum


class CallOutcome(StrEnum):
    """Outcome of a submission or a cancellation.

    ``ABSENT`` means that no workflow has the id. ``REFUSED`` and ``INVALID``
    are definite: nothing was stored and nothing runs. Repeating the call may
    succeed after ``REFUSED``, and never does after ``INVALID``. After
    ``UNKNOWN`` the call may or may not have taken effect; repeating it is
    safe.
    """

    ACCEPTED = "accepted"
    ABSENT = "absent"
    REFUSED = "refused"
    INVALID = "invalid"
    UNKNOWN = "unknown"
