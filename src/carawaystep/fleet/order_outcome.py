"""What became of an order."""

from __future__ import annotations

from enum import StrEnum


class OrderOutcome(StrEnum):
    """Result of an order as far as the sender knows.

    ``REFUSED``, ``NO_PERMIT``, ``FULL``, ``SUPERSEDED``, ``FENCED``,
    ``UNHEALTHY`` and ``NOT_SENT`` are certain: nothing was done. ``UNKNOWN``
    may still be carried out, even seconds later.
    """

    DONE = "done"
    FULL = "full"
    SUPERSEDED = "superseded"
    FENCED = "fenced"
    EXPIRED = "expired"
    REFUSED = "refused"
    NO_PERMIT = "no-permit"
    UNHEALTHY = "unhealthy"
    OTHER_LIFETIME = "other-lifetime"
    NOT_SENT = "not-sent"
    UNKNOWN = "unknown"
