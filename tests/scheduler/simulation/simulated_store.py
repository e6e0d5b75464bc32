"""In-memory store with the versions and the change feed of the platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err
from result import Ok

from carawaystep.store.operation import CheckRow
from carawaystep.store.operation import PutRow
from carawaystep.store.row import Row
from carawaystep.store.table_changes import TableChanges
from carawaystep.store.table_commit import TableCommit
from carawaystep.store.table_failure import TableConflict
from carawaystep.store.table_failure import TableHistoryGone

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from result import Result

    from carawaystep.store.operation import Operation


class SimulatedStore:
    """Rows with one version counter; a transaction raises it by 1.

    The change feed lists every version of a row. Faults are injected by
    :class:`SimulatedStoreLink`.
    """

    def __init__(self) -> None:
        """Create an empty store.

        ``on_write`` is called with the table and the row of each write.
        """
        self.version = 0
        self.on_write: Callable[[str, Row], None] = lambda table, row: None
        self._rows: dict[str, dict[str, Row]] = {}
        self._history: dict[str, list[Row]] = {}
        self._oldest_feed_version = 0
        self._waiters: list[asyncio.Future[None]] = []

    def transact(
        self, operations: Sequence[Operation]
    ) -> Result[TableCommit, TableConflict]:
        """Apply all operations or none."""
        conflicts = {}
        for operation in operations:
            row = self.get(operation.table, operation.key)
            version = 0 if row is None else row.version
            if operation.expected not in (None, version):
                conflicts[operation.table, operation.key] = version
        if conflicts:
            return Err(TableConflict("versions differ", conflicts))
        self.version += 1
        for operation in operations:
            self._apply(operation)
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)
        versions = (self.version,) * len(operations)
        return Ok(TableCommit(self.version, versions))

    def get(self, table: str, key: str) -> Row | None:
        """Return a row, None if there is none."""
        return self._rows.get(table, {}).get(key)

    def rows(self, table: str) -> tuple[Row, ...]:
        """Return all rows of a table in order of their keys."""
        rows = self._rows.get(table, {})
        return tuple(rows[key] for key in sorted(rows))

    def read(
        self, table: str, since: int
    ) -> Result[TableChanges, TableHistoryGone]:
        """Return all rows for 0, otherwise the versions after a revision."""
        if since == 0:
            return Ok(TableChanges(self.rows(table), self.version, False))
        if since < self._oldest_feed_version:
            return Err(TableHistoryGone("the history is gone"))
        changed = []
        for row in reversed(self._history.get(table, ())):
            if row.version <= since:
                break
            changed.append(row)
        return Ok(TableChanges(tuple(changed[::-1]), self.version, False))

    async def wait_for_change(
        self, table: str, since: int, wait_s: float
    ) -> None:
        """Wait until a table changes after a revision, or for a time."""
        deadline = asyncio.get_running_loop().time() + wait_s
        try:
            async with asyncio.timeout_at(deadline):
                while self._is_unchanged(table, since):
                    waiter = asyncio.get_running_loop().create_future()
                    self._waiters.append(waiter)
                    await waiter
        except TimeoutError:
            return

    def drop_history(self) -> None:
        """Discard the versions that the change feed lists."""
        self._oldest_feed_version = self.version + 1

    def _is_unchanged(self, table: str, since: int) -> bool:
        history = self._history.get(table)
        return not history or history[-1].version <= since

    def _apply(self, operation: Operation) -> None:
        if isinstance(operation, CheckRow):
            return
        rows = self._rows.setdefault(operation.table, {})
        value = None
        if isinstance(operation, PutRow):
            value = operation.value
        elif operation.key not in rows:
            return
        row = Row(operation.key, value, self.version, self.version)
        self._history.setdefault(operation.table, []).append(row)
        if value is None:
            del rows[operation.key]
        else:
            rows[operation.key] = row
        self.on_write(operation.table, row)
