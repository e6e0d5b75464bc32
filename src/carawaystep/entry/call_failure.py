"""Failures of calls to an entry, as values."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class CallFailureCode(StrEnum):
    """The closed set of failure kinds.

    Every front end maps each of them to one of its own status codes.
    """

    NOT_FOUND = "not-found"
    INVALID = "invalid"
    FORBIDDEN = "forbidden"
    CONFLICT = "conflict"
    DRAINING = "draining"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class CallFailure:
    """Why a call failed.

    The call had no effect, unless the code is ``UNKNOWN``.

    :param code: kind of failure
    :param detail: sentence for the caller that names a next step
    :param version: current version of a document after a conflict, else 0
    """

    code: CallFailureCode
    detail: str
    version: int = 0
