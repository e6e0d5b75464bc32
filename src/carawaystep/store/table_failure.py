"""Failures of the platform's table service, as values."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TableFailure:
    """A call that gave no result.

    :param detail: sentence for logs and error bodies
    """

    detail: str


@dataclass(frozen=True, slots=True)
class TableConflict(TableFailure):
    """A row did not have the expected version; nothing was written.

    :param versions: present version of each row in conflict, by
        (table, key)
    """

    versions: dict[tuple[str, str], int]


@dataclass(frozen=True, slots=True)
class TableRefused(TableFailure):
    """The service refused the call; nothing was written."""


@dataclass(frozen=True, slots=True)
class TableOutcomeUnknown(TableFailure):
    """No answer came; a write may or may not have taken effect."""


@dataclass(frozen=True, slots=True)
class TableHistoryGone(TableFailure):
    """The changes since the given revision are no longer kept."""
