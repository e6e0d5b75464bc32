"""Conditional transactions of one leader's term."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok

from carawaystep.scheduler import tables
from carawaystep.scheduler.term_ended import TermEnded
from carawaystep.store.operation import CheckRow
from carawaystep.store.table_failure import TableConflict

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from result import Result

    from carawaystep.scheduler.ports import SchedulerPorts
    from carawaystep.scheduler.store_health import StoreHealth
    from carawaystep.store.operation import Operation


class TermTransactions:
    """Writes rows as long as the leader row is that of the term.

    A replaced leader and a delayed write of one change nothing.
    """

    def __init__(
        self, ports: SchedulerPorts, store_health: StoreHealth, term: int
    ) -> None:
        """Create the transactions of a term; nothing is written yet.

        :param ports: clock and store
        :param store_health: records the answers and failures of the store
        :param term: number of the term, which is the leader row's version
        """
        self._ports = ports
        self._store_health = store_health
        self._leader_check = CheckRow(tables.CONTROL, tables.LEADER_KEY, term)

    async def apply(
        self, operations: Iterable[Operation]
    ) -> Result[int, Mapping[tuple[str, str], int]]:
        """Apply operations, once.

        :returns: the revision of the commit, or the current versions of the
            rows that conflicted, by table and key; none if the store did not
            apply the operations for another reason, or gave no answer
        :raises TermEnded: the leader row has changed
        """
        result = await self._ports.store.transact(
            [self._leader_check, *operations]
        )
        now = self._ports.clock.now()
        if isinstance(result, Ok):
            self._store_health.record_answer(now)
            return Ok(result.ok_value.revision)
        failure = result.err_value
        if isinstance(failure, TableConflict) and failure.versions:
            self._store_health.record_answer(now)
            if (tables.CONTROL, tables.LEADER_KEY) in failure.versions:
                raise TermEnded
            return Err(failure.versions)
        self._store_health.record_failure(failure.detail, now)
        return Err({})
