"""Repository of the learned probabilities of harm between images."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from result import Ok

from carawaystep.scheduler import stored_rows
from carawaystep.scheduler import tables
from carawaystep.scheduler.progress_rows import JSON_SHARE_OF_ROW
from carawaystep.scheduler.rejected_transaction import log_rejected
from carawaystep.store.operation import CheckRow
from carawaystep.store.operation import PutRow
from carawaystep.store.table_failure import TableRejected

if TYPE_CHECKING:
    from carawaystep.scheduler.node_settings import NodeSettings
    from carawaystep.scheduler.ports import SchedulerPorts
    from carawaystep.scheduler.store_health import StoreHealth
    from carawaystep.store.row import Row

_RETRY_INTERVAL_S = 0.1


class InterferenceRepository:
    """Loads and stores the probabilities of harm during one term."""

    def __init__(
        self,
        settings: NodeSettings,
        ports: SchedulerPorts,
        store_health: StoreHealth,
        term: int,
    ) -> None:
        """Create a repository; nothing is read yet.

        :param settings: settings of this process
        :param ports: clock, store and log
        :param store_health: records the answers and failures of the store
        :param term: number of the term, which is the leader row's version
        """
        self._max_row_bytes = settings.max_row_bytes
        self._ports = ports
        self._store_health = store_health
        self._term = term

    async def load(self) -> list[tuple[str, str, float]]:
        """Return the stored probabilities of harm between images.

        The row is only an optimisation: if it is missing or malformed, the
        result is empty. A failed read is repeated, because the leader later
        replaces the row by what it knows.

        :returns: image of the best-effort task, image of the serving task
            and probability that the first harms the second
        """
        row = await self._read_row()
        if row is None:
            return []
        return stored_rows.INTERFERENCE.convert(row.value).unwrap_or([])

    async def save(self, pairs: list[tuple[str, str, float]]) -> bool:
        """Store probabilities of harm; a failure is not retried.

        Of more pairs than a row holds, the most harmful are stored: without
        them, the next leader would place their images together.

        :param pairs: as returned by :meth:`load`
        :returns: whether they are known to be stored
        """
        value = _most_harmful(pairs, self._max_row_bytes)
        operations = [
            CheckRow(tables.CONTROL, tables.LEADER_KEY, self._term),
            PutRow(tables.CONTROL, tables.INTERFERENCE_KEY, None, value),
        ]
        result = await self._ports.store.transact(operations)
        if isinstance(result, Ok):
            return True
        if isinstance(result.err_value, TableRejected):
            self._store_health.record_answer(self._ports.clock.now())
            log_rejected(
                self._ports.log, self._term, operations, result.err_value
            )
        else:
            self._store_health.record_failure(
                result.err_value.detail, self._ports.clock.now()
            )
        return False

    async def _read_row(self) -> Row | None:
        while True:
            result = await self._ports.store.get(
                tables.CONTROL, tables.INTERFERENCE_KEY
            )
            now = self._ports.clock.now()
            if isinstance(result, Ok):
                self._store_health.record_answer(now)
                return result.ok_value
            self._store_health.record_failure(result.err_value.detail, now)
            await asyncio.sleep(_RETRY_INTERVAL_S)


def _most_harmful(
    pairs: list[tuple[str, str, float]], max_row_bytes: int
) -> list[tuple[str, str, float]]:
    """Return the pairs with the highest probabilities that fit in a row.

    :returns: pairs in their order, with rounded probabilities
    """
    rounded = [(a, b, round(probability, 3)) for a, b, probability in pairs]
    size = len(msgspec.json.encode(rounded))
    limit = int(max_row_bytes * JSON_SHARE_OF_ROW)
    for pair in sorted(rounded, key=lambda pair: pair[2]):
        if size <= limit:
            break
        rounded.remove(pair)
        size -= len(msgspec.json.encode(pair)) + 1
    return rounded
