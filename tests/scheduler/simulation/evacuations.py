"""Evacuations of zones in a simulation, and the check of starts in them."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from carawaystep.store.operation import DeleteRow
from carawaystep.store.operation import PutRow
from tests.scheduler.simulation.simulated_route_source import (
    SimulatedRouteSource,
)

if TYPE_CHECKING:
    from tests.scheduler.simulation.simulated_environment import (
        SimulatedEnvironment,
    )
    from tests.scheduler.simulation.simulated_node import SimulatedNode
    from tests.scheduler.simulation.simulated_process import SimulatedProcess

# Zones of the workers.
WORKER_ZONES = ("north", "south")
_UNKNOWN_ZONE = "nowhere"
# evacuate_ms and contact_ms of the users' deployments.
_START_BOUND_S = 5.0
_CONTACT_S = 4.0
_MEAN_INTERVAL_S = 2.5
_MIN_EVACUATION_S = 0.2
_MAX_EVACUATION_S = 16.0
_SAMPLE_INTERVAL_S = 0.05


class Evacuations:
    """Evacuates zones at random, several in turn or at the same time.

    Its random decisions are independent of those of the other faults. A
    start breaks the bound if its node was in touch: for some time before it,
    its process ran and the store served it.
    """

    def __init__(
        self,
        nodes: list[SimulatedNode],
        environment: SimulatedEnvironment,
        seed: int,
    ) -> None:
        """Create evacuations, none of which has begun.

        :param nodes: nodes whose starts are checked
        :param environment: store and record of the simulation
        :param seed: seed of all random decisions
        """
        self._nodes = nodes
        self._environment = environment
        self._random = Random(f"evacuations {seed}")
        self._since: dict[str, float] = {}
        self._processes: dict[str, SimulatedProcess | None] = {}
        self._out_of_touch_at: dict[str, float] = {}

    async def run(self, until: float) -> None:
        """Evacuate zones until a time, then take them all back."""
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            watch = group.create_task(self._watch_nodes())
            async with asyncio.TaskGroup() as evacuations:
                while loop.time() < until:
                    pause_s = self._random.expovariate(1 / _MEAN_INTERVAL_S)
                    await asyncio.sleep(pause_s)
                    zones = (*WORKER_ZONES, _UNKNOWN_ZONE)
                    zone = self._random.choice(zones)
                    if zone not in self._since:
                        evacuations.create_task(self._evacuate(zone))
            watch.cancel()

    async def _evacuate(self, zone: str) -> None:
        store = self._environment.store
        table = SimulatedRouteSource.table
        self._environment.record.add_fault("zone-evacuated", zone)
        self._since[zone] = asyncio.get_running_loop().time()
        store.transact([PutRow(table, zone, None, {})])
        await asyncio.sleep(
            self._random.uniform(_MIN_EVACUATION_S, _MAX_EVACUATION_S)
        )
        del self._since[zone]
        self._environment.record.add(f"zone {zone} is taken back")
        store.transact([DeleteRow(table, zone, None)])

    async def _watch_nodes(self) -> None:
        """Record when nodes are not in touch."""
        faults = self._environment.store_faults
        while True:
            now = asyncio.get_running_loop().time()
            for node in self._nodes:
                process = node.process
                if (
                    process is None
                    or process.paused
                    or process is not self._processes.get(node.name)
                    or node.name in faults.refusing
                    or node.name in faults.silent
                ):
                    self._out_of_touch_at[node.name] = now
                self._processes[node.name] = process
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    def check_start(self, worker: str, late: bool, node: str) -> None:
        """Check that a start is not in a zone evacuated for too long.

        :param worker: name of the worker
        :param late: whether the worker carried the order out late
        :param node: name of the node that sent the order
        """
        zone = self._environment.fleet.zone_of(worker)
        now = asyncio.get_running_loop().time()
        out_of_touch_at = self._out_of_touch_at.get(node, 0.0)
        is_in_touch = now - out_of_touch_at >= _CONTACT_S
        if late or not is_in_touch or zone not in self._since:
            return
        evacuated_s = now - self._since[zone]
        self._environment.record.check(
            evacuated_s <= _START_BOUND_S,
            f"{node} starts a task on {worker} {evacuated_s:.2f} s after zone"
            f" {zone} was evacuated",
        )
