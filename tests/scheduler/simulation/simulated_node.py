"""A node of a simulation, whose process can be replaced."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import TypeVar

from carawaystep.entry.supervisor import Supervisor
from carawaystep.scheduler.load_settings import LoadSettings
from carawaystep.scheduler.node_settings import NodeSettings
from carawaystep.scheduler.scheduler_node import SchedulerNode
from tests.fakes.fake_counters import FakeCounters
from tests.scheduler.simulation.simulated_fleet import MAX_LEASE_S
from tests.scheduler.simulation.simulated_ports import SimulatedPorts
from tests.scheduler.simulation.simulated_process import SimulatedProcess

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from carawaystep.scheduler.workflow_service import WorkflowService
    from tests.scheduler.simulation.simulated_environment import (
        SimulatedEnvironment,
    )

Value = TypeVar("Value")

LOAD = LoadSettings()
_DRAIN_S = 1.0


class SimulatedNode:
    """Runs the real code of a node, under one name and address."""

    def __init__(
        self,
        name: str,
        environment: SimulatedEnvironment,
        evacuation_in_force: bool = False,
    ) -> None:
        """Create a node without a process.

        :param name: name of the node
        :param environment: all that is outside the processes
        :param evacuation_in_force: whether it obeys requests to evacuate
        """
        self.name = name
        self._environment = environment
        self._evacuation_in_force = evacuation_in_force
        self._address = f"tcp://{name}:1"
        self._process_count = 0
        self._process: SimulatedProcess | None = None
        self._counters = FakeCounters()
        self._supervisor = Supervisor(self._counters)
        self._scheduler: SchedulerNode | None = None
        self._calls: set[asyncio.Task[object]] = set()

    @property
    def process(self) -> SimulatedProcess | None:
        """Return the process, None while there is none."""
        return self._process

    @property
    def leads(self) -> bool:
        """Tell whether its process leads or believes so."""
        return (
            self._scheduler is not None
            and self._scheduler._leader_term is not None
        )

    @property
    def failed_task_count(self) -> int:
        """Return the number of tasks of its processes that have failed."""
        return self._counters.counts["tasks_failed"] + int(
            self._supervisor.has_broken_invariant
        )

    def start(self) -> None:
        """Start a process."""
        self._process_count += 1
        process = SimulatedProcess(self.name, self._process_count)
        ports = SimulatedPorts(process, self._environment)
        settings = NodeSettings(
            self.name,
            "zone",
            1.0,
            self._address,
            MAX_LEASE_S,
            _DRAIN_S,
            evacuation_in_force=self._evacuation_in_force,
            load=LOAD,
        )
        self._process = process
        self._supervisor = Supervisor(self._counters)
        self._scheduler = SchedulerNode(settings, ports, self._supervisor)
        ports.bind(self._address)
        process.run_inside(self._scheduler.start)

    async def kill(self) -> None:
        """Kill the process; calls that wait for it get no answer."""
        process, self._process = self._process, None
        if process is None:
            return
        self._scheduler = None
        process.alive = False
        process.resume()
        self._environment.connections.unbind(self._address)
        for call in list(self._calls):
            call.cancel()
        await self._supervisor.stop()

    async def stop(self) -> None:
        """Drain the process, then kill it."""
        scheduler = self._scheduler
        process = self._process
        if scheduler is not None and process is not None:
            draining = process.create_task(scheduler.drain())
            await asyncio.wait([draining], timeout=_DRAIN_S)
            await asyncio.sleep(_DRAIN_S)
        if scheduler is self._scheduler:
            await self.kill()

    async def call(
        self,
        work: Callable[[WorkflowService], Awaitable[Value]],
        timeout_s: float,
    ) -> Value | None:
        """Carry out a caller's call.

        :param work: what the process does
        :returns: its result, None without an answer in time
        """
        scheduler = self._scheduler
        process = self._process
        if scheduler is None or process is None:
            return None
        service = scheduler.workflow_service

        async def serve() -> Value:
            return await work(service)

        task = process.create_task(serve())
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
        await asyncio.wait([task], timeout=timeout_s)
        if not task.done() or task.cancelled():
            return None
        return task.result()
