"""Failures of calls to an entry, as values."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class CallFailureCode(StrEnum):
    """Closed set of failures; front ends map each to their own status."""

    NOT_FOUND = "not-found"
    INVALID = "invalid"
    FORBIDDEN = "forbidden"
    CONFLICT = "conflict"
    DRAINING = "draining"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class CallFailure:
    """A call that had no effect, except for the code ``UNKNOWN``.

    :param code: kind of failure
    :param detail: sentence for the caller, with a next step
    :param version: present version of a document in conflict, else 0
    """

    code: CallFailureCode
    detail: str
    version: int = 0
