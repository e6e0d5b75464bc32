"""Failures of calls to an entry's operator interface."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class FailureKind(StrEnum):
    """Closed set of failures."""

    UNREACHABLE = "unreachable"
    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class OperatorFailure:
    """A call without a usable answer.

    :param kind: kind of failure; after ``UNREACHABLE`` a write may have
        taken effect
    :param detail: sentence for the operator
    :param version: present version in a conflict, else 0
    """

    kind: FailureKind
    detail: str
    version: int = 0
