"""What a caller is told about its request."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """The closed set of outcomes.

    ``NOT_RUN`` is told only when it is certain; it is then safe to send the
    request again. ``UNKNOWN`` covers every doubt.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
