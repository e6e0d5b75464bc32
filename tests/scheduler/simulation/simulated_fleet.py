"""Workers of a simulation and their entries in the list of workers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from carawaystep.store.operation import DeleteRow
from carawaystep.store.operation import PutRow
from carawaystep.workflow.run_end import RunEnd
from tests.planner.simulated_worker import SimulatedRun
from tests.planner.simulated_worker import SimulatedWorker
from tests.scheduler.simulation.simulated_worker_list import (
    SimulatedWorkerList,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from random import Random

    from carawaystep.fleet.order import StartOrder
    from carawaystep.fleet.worker_report import EndedRun
    from carawaystep.fleet.worker_report import WorkerReport
    from tests.scheduler.simulation.simulated_store import SimulatedStore

# Longest lease that a worker accepts.
MAX_LEASE_S = 10.0
_TICK_S = 0.05
_MIN_RUN_S = 0.2
_MAX_RUN_S = 2.5
_FAILURE_RATE = 0.05
# Runs that outlast the leases of a worker that is cut off.
_LONG_RUN_RATE = 0.1
_MIN_LONG_RUN_S = 8.0
_MAX_LONG_RUN_S = 20.0


class SimulatedFleet:
    """Runs tasks on workers, and lists the workers in the store.

    ``on_start`` is called with the worker, the order, whether the worker
    carried the order out late and the node that sent it, after each start;
    ``on_end_acknowledged`` with each end that a worker forgets because it is
    acknowledged while the lease lasts that the worker had at the end. All
    runs that start on ``long_run_workers`` may outlast a lease.
    """

    def __init__(
        self,
        names: list[str],
        store: SimulatedStore,
        random: Random,
        zones: Mapping[str, str],
    ) -> None:
        """Create workers that are listed.

        :param names: ids of the workers
        :param store: holds the list of workers
        :param random: source of all random decisions
        :param zones: zones of the workers by their ids, by default the same
        """
        self._store = store
        self._zones = zones
        self._random = random
        self.workers = {name: SimulatedWorker(name) for name in names}
        self.on_start: Callable[[SimulatedWorker, StartOrder, bool, str], None]
        self.on_start = lambda worker, order, late, node: None
        self.on_end_acknowledged: Callable[[EndedRun], None]
        self.on_end_acknowledged = lambda ended: None
        self.long_run_workers: set[str] = set()
        self._started_at = dict.fromkeys(names, 0.0)
        self._ended = {name: asyncio.Event() for name in names}
        for name in names:
            self.list_worker(name)

    def zone_of(self, name: str) -> str:
        """Return the availability zone of a worker."""
        return self._zones.get(name, "zone")

    async def run(self) -> None:
        """End runs when they are due until the task is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_TICK_S)
            for worker in self.workers.values():
                worker.end_due_runs(loop.time())
                if worker.unacknowledged_ends:
                    self._ended[worker.name].set()

    def clock(self, name: str, now: float) -> float:
        """Return the time of a worker's clock, which starts with it."""
        return now - self._started_at[name]

    async def wait_for_end(self, name: str, wait_s: float) -> None:
        """Wait until a worker has an end to report, or for a time."""
        if self.workers[name].unacknowledged_ends:
            return
        self._ended[name].clear()
        try:
            async with asyncio.timeout(wait_s):
                await self._ended[name].wait()
        except TimeoutError:
            return

    def report(
        self, name: str, token: int, acknowledged: int, extend_lease: bool
    ) -> WorkerReport | None:
        """Return a worker's report, None for a low token.

        :param acknowledged: number up to which its ends are forgotten
        """
        worker = self.workers[name]
        known = worker.unacknowledged_ends
        now = asyncio.get_running_loop().time()
        report = worker.report(token, acknowledged, now, extend_lease)
        if report is not None:
            for ended in known:
                if ended.number <= acknowledged and worker.held_lease_since(
                    ended
                ):
                    self.on_end_acknowledged(ended)
        return report

    def start(
        self,
        order: StartOrder,
        token: int,
        deadline: float,
        late: bool,
        node: str,
    ) -> bool:
        """Start a run on the present lifetime of the order's worker.

        :param deadline: end of the lease on the worker's clock
        :param late: whether the worker carries the order out late
        :param node: name of the node that sent the order
        :returns: False if the worker refuses it
        """
        name = order.worker.id
        worker = self.workers[name]
        now = asyncio.get_running_loop().time()
        run = SimulatedRun(
            order.run,
            0,
            now + self._draw_run_s(name),
            RunEnd.FAILED
            if self._random.random() < _FAILURE_RATE
            else RunEnd.DONE,
        )
        lease_until = min(deadline + self._started_at[name], now + MAX_LEASE_S)
        if not worker.start(order.ref, run, token, lease_until, now):
            return False
        self.on_start(worker, order, late, node)
        return True

    def _draw_run_s(self, name: str) -> float:
        is_long = name in self.long_run_workers
        if is_long or self._random.random() < _LONG_RUN_RATE:
            return self._random.uniform(_MIN_LONG_RUN_S, _MAX_LONG_RUN_S)
        return self._random.uniform(_MIN_RUN_S, _MAX_RUN_S)

    def crash(self, name: str) -> None:
        """Stop a worker, which loses its runs; it stays listed."""
        self.workers[name].crash()

    def restart(self, name: str) -> None:
        """Start a new lifetime of a worker under its id."""
        self.workers[name].restart()
        self._started_at[name] = asyncio.get_running_loop().time()

    def list_worker(self, name: str) -> None:
        """Add a worker to the list."""
        value = {
            "started_at_ms": self.workers[name].started_at_ms,
            "zone": self.zone_of(name),
        }
        self._store.transact(
            [PutRow(SimulatedWorkerList.table, name, None, value)]
        )

    def unlist_worker(self, name: str) -> None:
        """Remove a worker from the list; it works on."""
        self._store.transact(
            [DeleteRow(SimulatedWorkerList.table, name, None)]
        )
