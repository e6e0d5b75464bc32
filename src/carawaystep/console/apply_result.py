"""Result of applying one document."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.console.local_document import LocalDocument


class ApplyOutcome(StrEnum):
    """Closed set of outcomes."""

    APPLIED = "applied"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    NOT_APPLIED = "not-applied"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """What became of one document.

    :param document: the document
    :param outcome: what became of it
    :param version: version that is present now, 0 when not known
    :param revision: platform revision of the write, 0 without one
    :param detail: what to do next, empty when nothing
    """

    document: LocalDocument
    outcome: ApplyOutcome
    version: int = 0
    revision: int = 0
    detail: str = ""
