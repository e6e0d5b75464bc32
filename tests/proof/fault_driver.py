"""Random faults of a simulation."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from carawaystep.standin.faults import Faults
from tests.fakes.fake_network import LinkFaults

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from random import Random

    from tests.fakes.fake_fleet import FakeFleet
    from tests.proof.simulated_callers import SimulatedCallers
    from tests.proof.simulation_log import SimulationLog


class FaultDriver:
    """Injects random faults, which may overlap, and ends those that last.

    A worker that leaves does not come back.
    """

    def __init__(
        self,
        fleet: FakeFleet,
        callers: SimulatedCallers,
        random: Random,
        log: SimulationLog,
    ) -> None:
        """Create a driver.

        :param fleet: simulated deployment
        :param callers: their connections break when an entry is killed
        :param random: random generator of the simulation
        :param log: records faults and violations
        """
        self._fleet = fleet
        self._callers = callers
        self._random = random
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, until: float) -> None:
        """Inject faults until a time, then wait for those that last.

        :param until: time of the event loop in seconds
        """
        loop = asyncio.get_running_loop()
        injectors = self._fault_injectors()
        while loop.time() < until:
            await asyncio.sleep(self._random.expovariate(1 / 3.0))
            self._log.steps += 1
            task = asyncio.ensure_future(self._random.choice(injectors)())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    def _fault_injectors(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self._kill_entry,
            self._pause_entry,
            self._stop_entry,
            self._cut_zones,
            self._cut_zone_from_platform,
            self._cut_entry_from_platform,
            self._cut_entry_from_worker,
            self._platform_outage,
            self._lossy_network,
            self._restart_worker,
            self._make_worker_leave,
        ]

    def _choose_entry(self) -> str | None:
        ready = sorted(
            name for name, node in self._fleet.nodes.items() if node.ready
        )
        # One entry stays ready, so that the callers can send calls.
        if len(ready) < 2:
            return None
        return self._random.choice(ready)

    async def _kill_entry(self) -> None:
        name = self._choose_entry()
        if name is None:
            return
        self._log.record_fault("kill", name)
        self._callers.break_connections(self._fleet.nodes[name])
        await self._fleet.kill(name)
        await self._restart_entry(name)

    async def _stop_entry(self) -> None:
        name = self._choose_entry()
        if name is None:
            return
        self._log.record_fault("planned-stop", name)
        node = self._fleet.nodes[name]
        await node.drain()
        self._log.check(
            self._callers.in_flight(node) == 0,
            f"the planned stop of {name} interrupted calls",
        )
        if self._fleet.nodes.get(name) is node:
            await self._fleet.kill(name)
            await self._restart_entry(name)

    async def _restart_entry(self, name: str) -> None:
        await asyncio.sleep(self._random.uniform(0, 15))
        node = self._fleet.create_node(name)
        await node.start()

    async def _pause_entry(self) -> None:
        name = self._choose_entry()
        if name is None:
            return
        self._log.record_fault("pause", name)
        process = self._fleet.process_name(name)
        self._fleet.network.pause(process)
        await asyncio.sleep(self._random.uniform(1, 25))
        if (
            name in self._fleet.nodes
            and self._fleet.process_name(name) == process
        ):
            self._fleet.network.resume(process)

    async def _cut(self, one: str, other: str, kind: str) -> None:
        if self._fleet.network.is_cut(one, other):
            return
        self._log.record_fault(kind, f"{one} {other}")
        self._fleet.network.cut(one, other)
        await asyncio.sleep(self._random.uniform(1, 40))
        self._fleet.network.heal(one, other)

    async def _cut_zones(self) -> None:
        one, other = self._random.sample(self._fleet.zones, 2)
        await self._cut(one, other, "cut-zones")

    async def _cut_zone_from_platform(self) -> None:
        zone = self._random.choice(self._fleet.zones)
        await self._cut(zone, "platform", "cut-zone-from-platform")

    async def _cut_entry_from_platform(self) -> None:
        name = self._random.choice(self._fleet.entry_names)
        await self._cut(name, "platform", "cut-entry-from-platform")

    async def _cut_entry_from_worker(self) -> None:
        name = self._random.choice(self._fleet.entry_names)
        worker = self._random.choice(sorted(self._fleet.workers))
        await self._cut(name, worker, "cut-entry-from-worker")

    async def _platform_outage(self) -> None:
        self._log.record_fault("platform-outage", "")
        faults = self._fleet.platform.faults
        loop = asyncio.get_running_loop()
        faults.replace(Faults(refuse=True), loop.time())
        await asyncio.sleep(self._random.uniform(1, 40))
        faults.replace(Faults(), loop.time())

    async def _lossy_network(self) -> None:
        self._log.record_fault("lossy-spell", "")
        self._fleet.network.faults = LinkFaults(
            request_loss_rate=0.05,
            answer_loss_rate=0.08,
            late_request_rate=0.08,
            max_delay_s=self._random.choice((0.01, 0.3)),
        )
        await asyncio.sleep(self._random.uniform(2, 20))
        self._fleet.network.faults = LinkFaults()

    async def _make_worker_leave(self) -> None:
        # At most one worker leaves, so that the others can finish the jobs.
        if self._log.faults["leave-worker"]:
            return
        name = self._random.choice(sorted(self._fleet.workers))
        self._log.record_fault("leave-worker", name)
        self._fleet.workers[name].leave()

    async def _restart_worker(self) -> None:
        name = self._random.choice(sorted(self._fleet.workers))
        self._log.record_fault("restart-worker", name)
        self._fleet.workers[name].restart()
