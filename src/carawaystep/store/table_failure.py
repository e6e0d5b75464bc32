"""Failures of calls to the table service and the object store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TableFailure:
    """Base class: a call to either service that returned no result.

    Failures are returned as values, not raised.

    :param detail: description for logs and error responses
    """

    detail: str


@dataclass(frozen=True, slots=True)
class TableConflict(TableFailure):
    """A row did not have the expected version; nothing was written.

    :param versions: current version of each conflicting row by table and
        key, 0 when the row does not exist
    """

    versions: dict[tuple[str, str], int]


@dataclass(frozen=True, slots=True)
class TableRefused(TableFailure):
    """The call was not sent or was refused; nothing was written."""


@dataclass(frozen=True, slots=True)
class TableRejected(TableFailure):
    """The content of the call is not accepted; nothing was written.

    The same call will be rejected again.
    """


@dataclass(frozen=True, slots=True)
class TableOutcomeUnknown(TableFailure):
    """No valid response arrived; a write may have been applied."""


@dataclass(frozen=True, slots=True)
class TableHistoryGone(TableFailure):
    """The changes since the given revision are no longer available."""
