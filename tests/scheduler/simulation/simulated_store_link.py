"""Connection of one process to the simulated store."""

from __future__ import annotations

import asyncio
from contextvars import Context
from typing import TYPE_CHECKING
from typing import TypeVar

from result import Err
from result import Ok

from carawaystep.store.table_failure import TableFailure
from carawaystep.store.table_failure import TableOutcomeUnknown
from carawaystep.store.table_failure import TableRefused
from carawaystep.store.table_service import TableService

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence
    from random import Random

    from result import Result

    from carawaystep.store.operation import Operation
    from carawaystep.store.row import Row
    from carawaystep.store.table_changes import TableChanges
    from carawaystep.store.table_commit import TableCommit
    from tests.scheduler.simulation.simulated_process import SimulatedProcess
    from tests.scheduler.simulation.simulated_store import SimulatedStore
    from tests.scheduler.simulation.store_faults import StoreFaults

Value = TypeVar("Value")

_WRITE_TIMEOUT_S = 0.45
_READ_TIMEOUT_S = 0.8
# One way.
_MAX_DELAY_S = 0.004
_MAX_LATE_S = 5.0


class SimulatedStoreLink(TableService):
    """Adds delays and faults to the calls of one process.

    A call that was sent takes effect also if its process is killed.
    """

    def __init__(
        self,
        store: SimulatedStore,
        faults: StoreFaults,
        process: SimulatedProcess,
        random: Random,
    ) -> None:
        """Create the connection of a process.

        :param store: store of all processes
        :param faults: faults that are in effect
        :param process: the calling process
        :param random: source of all random decisions
        """
        self._store = store
        self._faults = faults
        self._process = process
        self._random = random
        self._calls: set[asyncio.Task[None]] = set()

    async def transact(
        self, operations: Sequence[Operation]
    ) -> Result[TableCommit, TableFailure]:
        """Apply all operations or none."""

        async def apply() -> Result[TableCommit, TableFailure]:
            return self._store.transact(operations)

        draw = self._random.random()
        late_s = 0.0
        lose_answer = draw < self._faults.lost_answer_rate
        if draw > 1 - self._faults.late_rate:
            late_s = self._random.uniform(_WRITE_TIMEOUT_S, _MAX_LATE_S)
        return await self._call(apply, _WRITE_TIMEOUT_S, late_s, lose_answer)

    async def get(
        self, table: str, key: str
    ) -> Result[Row | None, TableFailure]:
        """Read one row."""

        async def read() -> Result[Row | None, TableFailure]:
            return Ok(self._store.get(table, key))

        return await self._call(read, _READ_TIMEOUT_S)

    async def changes(
        self,
        table: str,
        since: int,
        prefixes: Sequence[str] = (),
        wait_s: float = 0.0,
    ) -> Result[TableChanges, TableFailure]:
        """Read the whole table or its changes."""

        async def read() -> Result[TableChanges, TableFailure]:
            if since:
                await self._store.wait_for_change(table, since, wait_s)
            result = self._store.read(table, since)
            if since:
                await asyncio.sleep(self._faults.feed_delays_s.get(table, 0.0))
            return result

        return await self._call(read, _READ_TIMEOUT_S + wait_s)

    async def _call(
        self,
        operation: Callable[[], Awaitable[Result[Value, TableFailure]]],
        timeout_s: float,
        late_s: float = 0.0,
        lose_answer: bool = False,
    ) -> Result[Value, TableFailure]:
        """Carry out a call and return its answer.

        :param late_s: additional seconds until it takes effect
        """
        node = self._process.node
        if node in self._faults.silent:
            await asyncio.sleep(timeout_s)
            return Err(TableOutcomeUnknown("no answer"))
        if node in self._faults.refusing:
            await asyncio.sleep(_MAX_DELAY_S)
            return Err(TableRefused("refused"))
        answer: asyncio.Future[Result[Value, TableFailure]]
        answer = asyncio.get_running_loop().create_future()

        async def carry_out() -> None:
            await asyncio.sleep(late_s + self._draw_delay_s())
            result = await operation()
            await asyncio.sleep(self._draw_delay_s())
            lost = lose_answer or node in self._faults.silent
            if not lost and not answer.done():
                answer.set_result(result)

        # The store goes on while the process is paused or killed.
        task = asyncio.create_task(carry_out(), context=Context())
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
        try:
            async with asyncio.timeout(timeout_s):
                result = await answer
        except TimeoutError:
            result = Err(TableOutcomeUnknown("no answer"))
        return result

    def _draw_delay_s(self) -> float:
        return self._random.uniform(
            0.001, _MAX_DELAY_S
        ) + self._random.uniform(0, self._faults.added_delay_s)
