"""Random simulation of several nodes with callers and faults."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import looptime

from carawaystep.store.operation import PutRow
from tests.scheduler.simulation.calm_period import CalmPeriod
from tests.scheduler.simulation.evacuations import Evacuations
from tests.scheduler.simulation.evacuations import WORKER_ZONES
from tests.scheduler.simulation.fault_driver import FaultDriver
from tests.scheduler.simulation.promise_checks import PromiseChecks
from tests.scheduler.simulation.simulated_callers import SimulatedCallers
from tests.scheduler.simulation.simulated_environment import (
    SimulatedEnvironment,
)
from tests.scheduler.simulation.simulated_node import SimulatedNode
from tests.scheduler.simulation.simulated_route_source import (
    SimulatedRouteSource,
)
from tests.scheduler.simulation.simulation_record import SimulationRecord
from tests.scheduler.simulation.task_factory import TaskFactory

if TYPE_CHECKING:
    from carawaystep.fleet.order import StartOrder
    from tests.planner.simulated_worker import SimulatedWorker

_NODES = 4
_WORKERS = 6
_CHECK_INTERVAL_S = 0.25
# Time for the first leader to be elected.
_START_S = 3.0
# The wait of a new term for silent workers, 18.5 s, twice, and the work.
_MAX_END_S = 60.0
_END_CHECK_INTERVAL_S = 1.0


class SchedulerSimulation:
    """One run, which its seed and the hash seed of Python repeat exactly."""

    def __init__(
        self, seed: int, seconds: float, evacuates: bool = False
    ) -> None:
        """Create a run.

        :param seed: seed of all random decisions
        :param seconds: virtual duration of calls and faults
        :param evacuates: whether the workers are in two zones, which are
            evacuated at times
        """
        self._seed = seed
        self._evacuates = evacuates
        self._random = Random(seed)
        self._seconds = seconds
        self._nodes: list[SimulatedNode] = []
        self.record = SimulationRecord()

    def run(self) -> SimulationRecord:
        """Run in an event loop that skips all waiting times."""
        with asyncio.Runner(loop_factory=_new_loop) as runner:
            runner.run(self._run())
        return self.record

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        workers = [f"worker-{number}" for number in range(_WORKERS)]
        zones = {
            name: WORKER_ZONES[number % len(WORKER_ZONES)]
            for number, name in enumerate(workers)
        }
        environment = SimulatedEnvironment(
            workers,
            self._random,
            self.record,
            zones if self._evacuates else {},
        )
        calm = CalmPeriod(loop.time)
        fleet = environment.fleet
        checks = PromiseChecks(
            environment.store, fleet.workers, calm, self.record
        )
        environment.store.on_write = checks.check_write
        fleet.on_end_acknowledged = checks.record_acknowledged_end
        source = SimulatedRouteSource()
        environment.store.transact(
            [PutRow(source.table, source.key, None, {})]
        )
        self._nodes = [
            SimulatedNode(f"edge-{number}", environment, self._evacuates)
            for number in range(_NODES)
        ]
        evacuations = Evacuations(self._nodes, environment, self._seed)

        def check_start(
            worker: SimulatedWorker, order: StartOrder, late: bool, node: str
        ) -> None:
            checks.check_start(worker, order, late)
            evacuations.check_start(worker.name, late, node)

        fleet.on_start = check_start
        background = [
            asyncio.create_task(fleet.run()),
            asyncio.create_task(self._check_continuously(checks)),
        ]
        for node in self._nodes:
            node.start()
        await asyncio.sleep(_START_S)
        until = loop.time() + self._seconds
        callers = SimulatedCallers(
            self._nodes, self._random, checks, self.record
        )
        driver = FaultDriver(self._nodes, environment, calm, self.record)
        callers.on_call = driver.fail_leader
        driver.on_busy_node = callers.submit_burst
        parts = [callers.run(until), driver.run(until)]
        if self._evacuates:
            parts.append(evacuations.run(until))
        await asyncio.gather(*parts)
        await self._wait_for_ends(callers, checks)
        checks.check_end()
        for node in self._nodes:
            await node.kill()
        for task in background:
            self.record.check(not task.done(), "a check has failed")
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)

    async def _check_continuously(self, checks: PromiseChecks) -> None:
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            checks.check_runs()
            for node in self._nodes:
                self.record.check(
                    node.failed_task_count == 0,
                    f"a task of {node.name} has failed",
                )

    async def _wait_for_ends(
        self, callers: SimulatedCallers, checks: PromiseChecks
    ) -> None:
        """Ask for the states of accepted workflows until all are final."""
        loop = asyncio.get_running_loop()
        self.record.add("waiting for the ends")
        limit = loop.time() + _MAX_END_S
        while loop.time() < limit:
            open_ids = [
                workflow_id
                for workflow_id, promise in checks.promises.items()
                if promise.accepted_at is not None
                and promise.final_state is None
            ]
            if not open_ids:
                break
            for workflow_id in open_ids:
                await callers.read_state(workflow_id)
            await asyncio.sleep(_END_CHECK_INTERVAL_S)
        for workflow_id in checks.promises:
            await callers.read_state_everywhere(workflow_id)


def _new_loop() -> asyncio.AbstractEventLoop:
    # All work runs in this loop, so one empty cycle means that it is waiting.
    loop = looptime.new_event_loop(noop_cycles=1)
    loop.set_task_factory(TaskFactory())
    return loop
