"""Outcome of a caller's call."""

from __future__ import annotations

from enum import StrEnum


class CallOutcome(StrEnum):
    """Outcome of a submission or a cancellation.

    ``ABSENT`` means that no workflow has the id. ``REFUSED`` is definite:
    nothing was stored and nothing runs. After ``UNKNOWN`` the call may or
    may not have taken effect; repeating it is safe.
    """

    ACCEPTED = "accepted"
    ABSENT = "absent"
    REFUSED = "refused"
    UNKNOWN = "unknown"
