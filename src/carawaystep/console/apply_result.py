"""Result of applying one document."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.console.local_document import LocalDocument


class ApplyOutcome(StrEnum):
    """Outcomes of applying a document.

    ``CONFLICT`` means that the current version is not the one that the file
    is based on. After ``UNKNOWN`` the write may have taken effect.
    """

    APPLIED = "applied"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    NOT_APPLIED = "not-applied"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """Outcome of applying one document.

    :param document: document to apply
    :param outcome: what happened to it
    :param version: current version of the document, 0 if there is none or it
        is unknown
    :param revision: revision of the platform's tables after the write, 0 if
        nothing was written or the revision is unknown
    :param detail: reason of a failure and what to do, may be empty
    """

    document: LocalDocument
    outcome: ApplyOutcome
    version: int = 0
    revision: int = 0
    detail: str = ""
