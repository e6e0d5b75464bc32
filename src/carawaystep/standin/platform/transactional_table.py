"""Rows of all tables of the stand-in platform."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

from result import Err
from result import Ok

from carawaystep.store.operation import CheckRow
from carawaystep.store.operation import PutRow
from carawaystep.store.row import Row
from carawaystep.store.table_changes import TableChanges
from carawaystep.store.table_commit import TableCommit
from carawaystep.store.table_failure import TableConflict

if TYPE_CHECKING:
    from collections.abc import Sequence

    from result import Result

    from carawaystep.store.operation import Operation

MAX_PAGE_ROWS = 1000
# A change log is compacted when it has this many entries more than twice the
# number of rows of its table.
_LOG_SLACK_ENTRIES = 1000


class TransactionalTable:
    """Versioned rows of all tables, changed by atomic transactions.

    A deleted row remains as a row without a value, so that its version keeps
    rising when it is written again. Each write has its own revision, so that
    a page of changes may end after any row.
    """

    def __init__(self) -> None:
        """Create tables without rows."""
        self._revision = 0
        self._rows: dict[str, dict[str, Row]] = {}
        self._change_logs: dict[str, list[tuple[int, str]]] = {}

    @property
    def revision(self) -> int:
        """Return the revision of the last write."""
        return self._revision

    def transact(
        self, operations: Sequence[Operation]
    ) -> Result[TableCommit, TableConflict]:
        """Apply all operations or none.

        Expected versions refer to the state before the transaction. The
        caller ensures that a transaction writes a row at most once.

        :param operations: checks, writes and deletions
        """
        conflicts: dict[tuple[str, str], int] = {}
        for operation in operations:
            version = self._current_version(operation)
            if operation.expected not in (None, version):
                conflicts[operation.table, operation.key] = version
        if conflicts:
            return Err(
                TableConflict(
                    "rows do not have the expected versions", conflicts
                )
            )
        versions = tuple(self._apply(operation) for operation in operations)
        return Ok(TableCommit(self._revision, versions))

    def get(self, table: str, key: str) -> Row | None:
        """Return a row, None if it does not exist or was deleted."""
        row = self._rows.get(table, {}).get(key)
        if row is None or row.value is None:
            return None
        return row

    def changes(
        self, table: str, since: int, prefixes: Sequence[str] = ()
    ) -> TableChanges:
        """Return a page of the rows written or deleted after a revision.

        :param table: name of the table
        :param since: revision of the last page, 0 for all rows
        :param prefixes: key prefixes to include; all keys if empty
        """
        log = self._change_logs.get(table, [])
        wanted_prefixes = tuple(prefixes) or ("",)
        rows: list[Row] = []
        for position in range(bisect_left(log, (since + 1,)), len(log)):
            revision, key = log[position]
            row = self._rows[table][key]
            if row.revision != revision or not key.startswith(wanted_prefixes):
                continue
            if len(rows) == MAX_PAGE_ROWS:
                return TableChanges(tuple(rows), rows[-1].revision, True)
            rows.append(row)
        return TableChanges(tuple(rows), self._revision, False)

    def _current_version(self, operation: Operation) -> int:
        """Return the current version, 0 if the row does not exist."""
        row = self.get(operation.table, operation.key)
        return 0 if row is None else row.version

    def _apply(self, operation: Operation) -> int:
        if isinstance(operation, CheckRow):
            return self._current_version(operation)
        rows = self._rows.setdefault(operation.table, {})
        previous = rows.get(operation.key)
        version = 1 if previous is None else previous.version + 1
        value = operation.value if isinstance(operation, PutRow) else None
        self._revision += 1
        row = Row(operation.key, value, version, self._revision)
        rows[operation.key] = row
        self._append_to_log(operation.table, row)
        return version

    def _append_to_log(self, table: str, row: Row) -> None:
        log = self._change_logs.setdefault(table, [])
        log.append((row.revision, row.key))
        rows = self._rows[table]
        if len(log) <= 2 * len(rows) + _LOG_SLACK_ENTRIES:
            return
        self._change_logs[table] = [
            (revision, key)
            for revision, key in log
            if rows[key].revision == revision
        ]
