"""Failures of calls to the operator interface of an entry."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class FailureKind(StrEnum):
    """Kinds of failed calls.

    ``UNREACHABLE`` also covers invalid responses and statuses of 500 and
    above; after it a write may have taken effect.
    """

    UNREACHABLE = "unreachable"
    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class OperatorClientFailure:
    """A call that failed.

    :param kind: kind of failure
    :param detail: message for the operator
    :param version: current version in a conflict, otherwise 0
    """

    kind: FailureKind
    detail: str
    version: int = 0
