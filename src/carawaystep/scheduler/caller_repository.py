"""Repository of the callers of workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Ok

from carawaystep.scheduler import tables
from carawaystep.scheduler.table_reader import read_table
from carawaystep.scheduler.workflow_repository import TermEnded
from carawaystep.store.operation import CheckRow
from carawaystep.store.operation import DeleteRow
from carawaystep.store.operation import PutRow
from carawaystep.store.table_failure import TableConflict
from carawaystep.validation.boundary_decoder import BoundaryDecoder

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from carawaystep.scheduler.ports import SchedulerPorts
    from carawaystep.scheduler.store_health import StoreHealth
    from carawaystep.store.operation import Operation

# The store accepts 100 entries in a transaction; a row takes two of them and
# the check of the leader row one.
_ROWS_PER_TRANSACTION = 48


class CallersRecord(msgspec.Struct, frozen=True):
    """Stored callers of one worker.

    :param addresses: ZeroMQ addresses of the members
    """

    addresses: list[str]


_RECORDS = BoundaryDecoder[CallersRecord](CallersRecord)


class CallerRepository:
    """Loads and stores the callers of workers during one term.

    Every transaction checks the leader row, so that a leader which was
    replaced lets no other member call a worker.
    """

    def __init__(
        self, ports: SchedulerPorts, store_health: StoreHealth, term: int
    ) -> None:
        """Create a repository; nothing is read yet.

        :param ports: clock, store and log
        :param store_health: records the answers and failures of the store
        :param term: number of the term, which is the leader row's version
        """
        self._ports = ports
        self._store_health = store_health
        self._term = term
        self._versions: dict[str, int] = {}

    def revision(self, worker_id: str) -> int:
        """Return the revision of the commit that stored a worker's callers."""
        return self._versions[worker_id]

    async def load(self) -> dict[str, frozenset[str]]:
        """Return the stored callers: addresses by id of the worker.

        An unreadable row is left out, and replaced when it is next stored.
        """
        rows, _ = await read_table(
            self._ports.store,
            self._ports.clock,
            self._store_health,
            tables.CALLERS,
        )
        callers = {}
        for row in rows:
            self._versions[row.key] = row.version
            record = _RECORDS.convert(row.value)
            if isinstance(record, Ok):
                callers[row.key] = frozenset(record.ok_value.addresses)
            else:
                self._ports.log.line(
                    "row.unreadable",
                    row.key,
                    table=tables.CALLERS,
                    version=row.version,
                    problem=record.err_value,
                )
        return callers

    async def store(
        self, callers: Mapping[str, frozenset[str]]
    ) -> dict[str, frozenset[str]]:
        """Store the callers of workers, once.

        :param callers: addresses by worker, none to delete its row
        :returns: what is known to be stored
        :raises TermEnded: another process was elected
        """
        stored: dict[str, frozenset[str]] = {}
        items = list(callers.items())
        for begin in range(0, len(items), _ROWS_PER_TRANSACTION):
            part = dict(items[begin : begin + _ROWS_PER_TRANSACTION])
            if not await self._store_part(part):
                break
            stored.update(part)
        return stored

    async def _store_part(self, callers: Mapping[str, frozenset[str]]) -> bool:
        operations: list[Operation] = [
            CheckRow(tables.CONTROL, tables.LEADER_KEY, self._term)
        ]
        operations.extend(self._operations(callers))
        result = await self._ports.store.transact(operations)
        now = self._ports.clock.now()
        if isinstance(result, Ok):
            self._store_health.record_answer(now)
            for worker_id, addresses in callers.items():
                self._versions[worker_id] = (
                    result.ok_value.revision if addresses else 0
                )
            return True
        failure = result.err_value
        if isinstance(failure, TableConflict) and failure.versions:
            self._store_health.record_answer(now)
            self._adopt_versions(failure)
        else:
            self._store_health.record_failure(failure.detail, now)
        return False

    def _operations(
        self, callers: Mapping[str, frozenset[str]]
    ) -> Iterable[Operation]:
        for worker_id, addresses in callers.items():
            version = self._versions.get(worker_id, 0)
            if addresses:
                value = {"addresses": sorted(addresses)}
                yield PutRow(tables.CALLERS, worker_id, version, value)
            elif version:
                yield DeleteRow(tables.CALLERS, worker_id, version)

    def _adopt_versions(self, conflict: TableConflict) -> None:
        """Adopt the versions of rows that an unanswered call has written.

        :raises TermEnded: the leader row has changed
        """
        for (table, key), version in conflict.versions.items():
            if table == tables.CONTROL:
                raise TermEnded
            self._versions[key] = version
