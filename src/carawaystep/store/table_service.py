"""Port to the platform's transactional table service."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from result import Result

    from carawaystep.store.operation import Operation
    from carawaystep.store.row import Row
    from carawaystep.store.table_changes import TableChanges
    from carawaystep.store.table_commit import TableCommit
    from carawaystep.store.table_failure import TableFailure


class TableService(ABC):
    """Versioned rows that are changed by transactions.

    Every call ends within a timeout of the adapter. Failures are returned as
    values, not raised.
    """

    @abstractmethod
    async def transact(
        self, operations: Sequence[Operation]
    ) -> Result[TableCommit, TableFailure]:
        """Apply all operations atomically, or none.

        :param operations: at most 100 operations
        :returns: the commit, or :class:`TableConflict`,
            :class:`TableRefused`, :class:`TableRejected` or
            :class:`TableOutcomeUnknown`
        """

    @abstractmethod
    async def get(
        self, table: str, key: str
    ) -> Result[Row | None, TableFailure]:
        """Read one row.

        :param table: name of the table
        :param key: key of the row
        :returns: the row, None when it does not exist
        """

    @abstractmethod
    async def changes(
        self,
        table: str,
        since: int,
        prefixes: Sequence[str] = (),
        wait_s: float = 0.0,
    ) -> Result[TableChanges, TableFailure]:
        """Read the rows that changed after a revision.

        :param table: name of the table
        :param since: revision returned by the previous call, 0 to read all
            rows
        :param prefixes: key prefixes to select, all keys when empty
        :param wait_s: seconds that the service may wait for a change (long
            poll)
        :returns: one page of rows, or :class:`TableHistoryGone` when the
            changes are no longer available and the caller must read all
            rows again
        """
