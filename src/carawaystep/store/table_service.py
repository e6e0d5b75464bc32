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
    """Rows with versions, changed by transactions.

    Every method ends within the adapter's own time limit; failures are
    values.
    """

    @abstractmethod
    async def transact(
        self, operations: Sequence[Operation]
    ) -> Result[TableCommit, TableFailure]:
        """Apply all operations or none.

        :param operations: at most 100 operations
        :returns: the commit, or a conflict, a refusal or an unknown result
        """

    @abstractmethod
    async def get(
        self, table: str, key: str
    ) -> Result[Row | None, TableFailure]:
        """Read one row.

        :param table: name of the table
        :param key: key of the row
        :returns: the row, or None when it does not exist
        """

    @abstractmethod
    async def changes(
        self,
        table: str,
        since: int,
        prefixes: Sequence[str] = (),
        wait_s: float = 0.0,
    ) -> Result[TableChanges, TableFailure]:
        """Read the rows that were written after a revision.

        :param table: name of the table
        :param since: revision of the last call, 0 for all rows
        :param prefixes: only keys with one of these prefixes; all when empty
        :param wait_s: how long the service may wait for a first change
        :returns: one page of rows, or :class:`TableHistoryGone` when the
            changes are no longer kept and all rows must be read again
        """
