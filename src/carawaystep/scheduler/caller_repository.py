"""Repository of the callers of workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Ok

from carawaystep.scheduler import tables
from carawaystep.scheduler.table_reader import read_table
from carawaystep.scheduler.term_transactions import TermTransactions
from carawaystep.store.operation import DeleteRow
from carawaystep.store.operation import PutRow
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
        self._transactions = TermTransactions(ports, store_health, term)
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
        result = await self._transactions.apply(self._operations(callers))
        if isinstance(result, Ok):
            for worker_id, addresses in callers.items():
                self._versions[worker_id] = result.ok_value if addresses else 0
            return True
        # An unanswered call may have written these rows.
        for (_, worker_id), version in result.err_value.items():
            self._versions[worker_id] = version
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
