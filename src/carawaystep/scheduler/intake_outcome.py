"""What callers are told."""

from __future__ import annotations

from enum import StrEnum


class IntakeOutcome(StrEnum):
    """Result of a submission or a cancellation.

    ``REFUSED`` is certain: nothing was stored and nothing runs. ``UNKNOWN``
    leaves it open; the same call again settles it.
    """

    ACCEPTED = "accepted"
    ABSENT = "absent"
    REFUSED = "refused"
    UNKNOWN = "unknown"
