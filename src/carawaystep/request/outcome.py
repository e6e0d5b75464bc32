"""Outcomes of a request, as reported to its caller."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """Whether a request ran; the set is closed.

    ``NOT_RUN`` is reported only when it is certain that nothing ran, so that
    the caller may safely send the request again. If it is not certain, the
    outcome is ``UNKNOWN``.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
