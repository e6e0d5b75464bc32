"""Revision from which a change feed is read next."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.store.table_changes import TableChanges

# Rows that change again within this time count as changing in quick
# succession. The interval is also that of the reads meanwhile.
_MIN_INTERVAL_S = 0.3


class FeedPosition(ABC):
    """Decides from which revision, and when, a table is read next."""

    @property
    @abstractmethod
    def since(self) -> int:
        """Return the revision after which changes are read.

        0 means that the whole table is read.
        """

    @abstractmethod
    def pause_s(self, now: float) -> float:
        """Return the seconds to wait before the next read."""

    @abstractmethod
    def record_changes(self, changes: TableChanges, now: float) -> None:
        """Record the result of a read that began at :attr:`since`."""

    @abstractmethod
    def record_failure(self) -> None:
        """Record a read without a result."""

    @abstractmethod
    def restart(self) -> None:
        """Read the whole table next, as its changes are not available."""


class EveryChangePosition(FeedPosition):
    """Reads on after the last revision, also after failures."""

    def __init__(self, since: int = 0) -> None:
        """Create a position.

        :param since: revision after which changes are read, 0 to start with
            a full read
        """
        self._since = since

    @property
    def since(self) -> int:
        """Return the revision of the last read."""
        return self._since

    def pause_s(self, now: float) -> float:
        """Return 0; the feed itself waits for changes."""
        return 0.0

    def record_changes(self, changes: TableChanges, now: float) -> None:
        """Read on after these changes."""
        self._since = changes.revision

    def record_failure(self) -> None:
        """Repeat the read as it was."""

    def restart(self) -> None:
        """Read the whole table next."""
        self._since = 0


class NewestRowsPosition(FeedPosition):
    """Skips versions of rows that newer versions have replaced.

    The feed of a table may list every version of a row. For a table with few
    large rows, the versions that a process has missed can take longer to
    transfer than the next one takes to appear. After a failed read, and while
    rows change in quick succession, the whole table is read instead, until a
    read finds it unchanged.
    """

    def __init__(self) -> None:
        """Create a position that starts with a full read."""
        self._since = 0
        self._changing_quickly = False
        self._newest_revision = 0
        self._changed_at: float | None = None

    @property
    def since(self) -> int:
        """Return the revision of the last read, 0 for a full read."""
        return self._since

    def pause_s(self, now: float) -> float:
        """Return the rest of the interval while rows change quickly."""
        if not self._changing_quickly or self._changed_at is None:
            return 0.0
        return max(0.0, self._changed_at + _MIN_INTERVAL_S - now)

    def record_changes(self, changes: TableChanges, now: float) -> None:
        """Choose between the feed and a full read."""
        newest = max((row.revision for row in changes.rows), default=0)
        has_changed = newest > self._newest_revision
        if self._since == 0:
            self._changing_quickly = self._changing_quickly and has_changed
        else:
            self._changing_quickly = has_changed and (
                self._has_replaced_rows(changes) or self._changed_recently(now)
            )
        if has_changed:
            self._newest_revision = newest
            self._changed_at = now
        self._since = 0 if self._changing_quickly else changes.revision

    def record_failure(self) -> None:
        """Read the whole table next: changes may have accumulated."""
        self._since = 0

    def restart(self) -> None:
        """Read the whole table next."""
        self._since = 0

    def _changed_recently(self, now: float) -> bool:
        return (
            self._changed_at is not None
            and now - self._changed_at < _MIN_INTERVAL_S
        )

    @staticmethod
    def _has_replaced_rows(changes: TableChanges) -> bool:
        return len({row.key for row in changes.rows}) < len(changes.rows)
