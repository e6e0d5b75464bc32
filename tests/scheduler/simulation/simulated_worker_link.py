"""Link of a simulated member to one worker."""

from __future__ import annotations

import asyncio
from contextvars import Context
from typing import TYPE_CHECKING
from typing import TypeVar

from result import Err
from result import Ok

from carawaystep.fleet.link_failure import LinkFailure
from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.order import StopOrder
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.fleet.worker_link import WorkerLink
from tests.scheduler.simulation.worker_connection import WorkerConnection

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from random import Random

    from result import Result

    from carawaystep.fleet.order import Order
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.fleet.worker_report import WorkerReport
    from tests.scheduler.simulation.order_faults import OrderFaults
    from tests.scheduler.simulation.simulated_fleet import SimulatedFleet
    from tests.scheduler.simulation.simulated_network import SimulatedNetwork
    from tests.scheduler.simulation.simulated_process import SimulatedProcess

Value = TypeVar("Value")

_CALL_TIMEOUT_S = 0.6
_MAX_LATE_S = 5.0
# Longer than every timeout: the call gets no answer.
_NEVER_S = 1e6


class SimulatedWorkerLink(WorkerLink):
    """Calls the present lifetime of a worker, as an address does.

    Deadlines, acknowledgements and orders are sent only on connections on
    which the expected lifetime has answered a report.
    """

    def __init__(
        self,
        key: WorkerKey,
        lease_s: float,
        fleet: SimulatedFleet,
        network: SimulatedNetwork,
        faults: OrderFaults,
        process: SimulatedProcess,
        random: Random,
    ) -> None:
        """Create a link.

        :param key: expected lifetime of the worker
        :param lease_s: duration of a lease
        :param fleet: the workers
        :param network: links between the process and the worker
        :param faults: faults of orders that are in effect
        :param process: the calling process
        :param random: source of all random decisions
        """
        self._key = key
        self._name = name = key.id
        self._lease_s = lease_s
        self._fleet = fleet
        self._network = network
        self._faults = faults
        self._process = process
        self._random = random
        # The worker's clock and the local time at the last report.
        self._clock_sample: tuple[float, float] | None = None
        self._calls: set[asyncio.Task[object]] = set()
        self._connection = WorkerConnection(fleet.workers[name])

    def lease_deadline_ms(self) -> int | None:
        """Return when a lease granted now ends, on the worker's clock."""
        deadline = self._deadline()
        return None if deadline is None else int(deadline * 1000)

    async def fetch_report(
        self, token: int, acknowledged: int, extend_lease: bool, wait_s: float
    ) -> Result[WorkerReport, LinkFailure]:
        """Return the worker's report."""
        connection = self._connect()
        if not connection.leads_to(self._key):
            acknowledged, extend_lease = 0, False
        report = self._report(
            connection, token, acknowledged, extend_lease, wait_s
        )
        answer = await self._call(report, _CALL_TIMEOUT_S + wait_s)
        if answer is None:
            return Err(LinkFailure("no answer"))
        if isinstance(answer, LinkFailure):
            return Err(answer)
        report, clock = answer
        self._clock_sample = (clock, asyncio.get_running_loop().time())
        connection.record_report()
        return Ok(report)

    async def execute_order(self, order: Order, token: int) -> OrderOutcome:
        """Send an order once, on a connection that has been checked."""
        # The caller's conditions for an order hold now: neither its deadline
        # nor the time by which it is sent may depend on a later time.
        deadline = self._deadline()
        if deadline is None and isinstance(order, StartOrder):
            return OrderOutcome.NOT_SENT
        connection = self._connect()
        obstacle = await self._check(connection, order, token)
        if obstacle is not None:
            return obstacle
        outcome = await self._call(
            self._execute(connection, order, token, deadline), _CALL_TIMEOUT_S
        )
        return outcome or OrderOutcome.UNKNOWN

    async def close(self) -> None:
        """Close nothing."""

    def _connect(self) -> WorkerConnection:
        """Return the connection, or a new one if it is closed."""
        if not self._connection.is_new and not self._connection.is_open:
            worker = self._fleet.workers[self._name]
            self._connection = WorkerConnection(worker)
        return self._connection

    async def _check(
        self, connection: WorkerConnection, order: Order, token: int
    ) -> OrderOutcome | None:
        """Ask for a report on a connection that has carried none.

        :returns: why the order must not be sent, None if it may be
        """
        if not connection.is_checked:
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            report = self._report(connection, token, 0, False, 0.0)
            answer = await self._call(report, _CALL_TIMEOUT_S)
            is_late = loop.time() - began_at > _CALL_TIMEOUT_S
            if answer is None or isinstance(answer, LinkFailure) or is_late:
                return OrderOutcome.NOT_SENT
            connection.record_report()
        if connection.leads_to(self._key):
            return None
        return OrderOutcome.OTHER_LIFETIME

    async def _call(
        self, work: Coroutine[None, None, Value], timeout_s: float
    ) -> Value | None:
        """Let the worker carry out a call.

        It goes on while the caller is paused or killed.

        :returns: the result, None without an answer in time
        """
        call = asyncio.create_task(work, context=Context())
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(call)
        except TimeoutError:
            return None

    async def _report(
        self,
        connection: WorkerConnection,
        token: int,
        acknowledged: int,
        extend_lease: bool,
        wait_s: float,
    ) -> tuple[WorkerReport, float] | LinkFailure:
        """Return the worker's report and the time of its clock."""
        await self._travel(self._process.node, self._name)
        if not connection.deliver():
            return LinkFailure("refused")
        loop = asyncio.get_running_loop()
        extend = extend_lease and self._clock_sample is not None
        # The call extends the lease and acknowledges before it waits.
        if self._fleet.report(self._name, token, acknowledged, extend) is None:
            return LinkFailure("fenced", fenced=True)
        await self._fleet.wait_for_end(self._name, wait_s)
        if not connection.is_open:
            await asyncio.sleep(_NEVER_S)
        report = self._fleet.report(self._name, token, 0, False)
        if report is None:
            return LinkFailure("fenced", fenced=True)
        clock = self._fleet.clock(self._name, loop.time())
        await self._travel(self._name, self._process.node)
        return report, clock

    async def _execute(
        self,
        connection: WorkerConnection,
        order: Order,
        token: int,
        deadline: float | None,
    ) -> OrderOutcome:
        await self._travel(self._process.node, self._name)
        if not connection.deliver():
            if connection.is_new:
                return OrderOutcome.NOT_SENT
            return OrderOutcome.UNKNOWN
        late = self._name in self._faults.late_workers
        if late:
            await asyncio.sleep(self._random.uniform(0, _MAX_LATE_S))
            if not connection.is_open:
                await asyncio.sleep(_NEVER_S)
        outcome = self._apply(order, token, deadline, late)
        if self._random.random() < self._faults.lost_answer_rate:
            await asyncio.sleep(_NEVER_S)
        await self._travel(self._name, self._process.node)
        return outcome

    def _apply(
        self, order: Order, token: int, deadline: float | None, late: bool
    ) -> OrderOutcome:
        worker = self._fleet.workers[self._name]
        if token < worker.token:
            return OrderOutcome.FENCED
        now = asyncio.get_running_loop().time()
        if isinstance(order, StopOrder):
            worker.stop(order.ref, order.run, token, now)
        elif isinstance(order, StartOrder) and deadline is not None:
            if deadline < self._fleet.clock(self._name, now):
                return OrderOutcome.EXPIRED
            node = self._process.node
            if not self._fleet.start(order, token, deadline, late, node):
                return OrderOutcome.SUPERSEDED
        return OrderOutcome.DONE

    async def _travel(self, source: str, target: str) -> None:
        await asyncio.sleep(self._network.draw_delay_s())
        if self._network.is_cut(source, target):
            await asyncio.sleep(_NEVER_S)

    def _deadline(self) -> float | None:
        """Return the end of a lease granted now on the worker's clock."""
        if self._clock_sample is None:
            return None
        clock, sampled_at = self._clock_sample
        elapsed_s = asyncio.get_running_loop().time() - sampled_at
        return clock + elapsed_s + self._lease_s
