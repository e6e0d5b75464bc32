"""Runs one entry process whose traffic is measured."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from secrets import token_hex
from time import monotonic
from typing import TYPE_CHECKING

import psutil

from tools.capacity.counting_relay import CountingRelay
from tools.capacity.entry_probe import EntryProbe
from tools.capacity.process_specs import ProcessSpecs
from tools.capacity.scenario_rows import ScenarioRows
from tools.capacity.simulated_deployment import MEASURED_ENTRY
from tools.capacity.simulated_deployment import MEASURED_ZONE
from tools.capacity.simulated_deployment import SimulatedDeployment
from tools.capacity.simulated_peer import SimulatedPeer
from tools.capacity.traffic_counter import TrafficCounter
from tools.port_allocator import LOOPBACK_HOST
from tools.port_allocator import PortAllocator
from tools.process_group import ProcessGroup

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Mapping
    from pathlib import Path
    from typing import Any

    from tools.capacity.scenario import Scenario
    from tools.process_spec import ProcessSpec

_READY_TIMEOUT_S = 90.0
_POLL_INTERVAL_S = 0.2
_STOP_TIMEOUT_S = 5.0
_ZONE_HEARTBEAT_INTERVAL_S = 1.0
_REMOTE_HEARTBEAT_INTERVAL_S = 5.0
_WORKER_SLOTS = 8
# Workers with only the slots reserved for requests have none for tasks, so
# that jobs stay queued.
_SLOTS_FOR_REQUESTS_ONLY = 2


class MeasuredEntry:
    """Starts one entry process in a simulated deployment.

    One process each runs the stand-ins of the platform and of all workers.
    This process writes the heartbeat rows of the other entries and serves
    their peer links. Counting relays carry the connections between the entry
    and the platform, the workers and the peers.
    """

    def __init__(self, scenario: Scenario, directory: Path) -> None:
        """Create a deployment; nothing is started yet.

        :param scenario: sizes of the deployment
        :param directory: directory for settings and output
        """
        self._scenario = scenario
        self._deployment = SimulatedDeployment(scenario)
        self._specs = ProcessSpecs(directory)
        self._counter = TrafficCounter()
        self._ports = PortAllocator()
        self._group = ProcessGroup(directory)
        self._stack = AsyncExitStack()
        self._token = token_hex(24)
        self._peers: dict[str, SimulatedPeer] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._platform_port = self._ports.reserve()
        self._http_port = self._ports.reserve()
        self._peer_port = self._ports.reserve()
        self._start_cpu_s = 0.0
        self._probe = EntryProbe(self._http_port, self._token)
        self._rows = ScenarioRows(
            scenario, self._deployment, self._platform_port
        )

    @property
    def counter(self) -> TrafficCounter:
        """Return the counter of the entry's traffic."""
        return self._counter

    @property
    def process(self) -> psutil.Process:
        """Return the entry process."""
        return psutil.Process(self._group.get(MEASURED_ENTRY).pid)

    @property
    def start_cpu_s(self) -> float:
        """Return the processor time that the entry used until it was ready."""
        return self._start_cpu_s

    async def start(self) -> None:
        """Start all processes and wait for the state of the scenario.

        :raises RuntimeError: a process ended or was not ready in time
        """
        worker_ports = {
            name: self._ports.reserve() for name in self._deployment.workers
        }
        relay_ports = {
            name: (await self._start_relay("workers", port)).port
            for name, port in worker_ports.items()
        }
        platform = await self._start_relay("platform", self._platform_port)
        incoming = await self._start_relay("peers/in", self._peer_port, True)
        self._start_standins(worker_ports, relay_ports)
        await self._wait_until("stand-ins", self._standins_accept)
        await self._start_peers()
        peer_ports = {name: peer.port for name, peer in self._peers.items()}
        await self._rows.insert_initial(peer_ports)
        self._start_task(self._rows.renew_heartbeats(peer_ports))
        await self._start_entry(platform.port)
        for peer in self._peers.values():
            peer.start_heartbeats(incoming.port)
        await self._wait_until(
            "workers and jobs of the entry",
            lambda: self._probe.has_state(self._scenario, len(self._peers)),
        )
        self._start_task(self._rows.insert_jobs())
        self._start_task(self._rows.change_documents())

    async def stop(self) -> None:
        """Stop all processes, the entry first."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._group.stop(_STOP_TIMEOUT_S, "entry")
        await self._group.stop(_STOP_TIMEOUT_S)
        await asyncio.gather(*(peer.stop() for peer in self._peers.values()))
        await self._rows.close()
        await self._stack.aclose()
        self._ports.close()

    def _cpu_s(self) -> float:
        times = self.process.cpu_times()
        return float(times.user + times.system)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def _start_relay(
        self, group: str, port: int, inbound: bool = False
    ) -> CountingRelay:
        relay = CountingRelay(self._counter, group, port, inbound)
        await relay.start()
        self._stack.push_async_callback(relay.stop)
        return relay

    def _start_standins(
        self, worker_ports: Mapping[str, int], relay_ports: Mapping[str, int]
    ) -> None:
        slots = (
            _SLOTS_FOR_REQUESTS_ONLY if self._scenario.jobs else _WORKER_SLOTS
        )
        self._start_process(
            self._specs.platform(
                self._platform_port, relay_ports, self._deployment.other_vms
            )
        )
        self._start_process(self._specs.workers(worker_ports, slots))

    async def _start_entry(self, platform_port: int) -> None:
        self._start_process(
            self._specs.entry(
                self._http_port, self._peer_port, platform_port, self._token
            )
        )
        await self._wait_until("entry", self._probe.is_ready)
        self._start_cpu_s = self._cpu_s()

    def _start_process(self, spec: ProcessSpec) -> None:
        self._ports.hand_over(spec.ports)
        self._group.start(spec)

    async def _start_peers(self) -> None:
        for name in self._deployment.linked_peers:
            in_zone = name.startswith(f"{MEASURED_ZONE}-")
            interval_s = (
                _ZONE_HEARTBEAT_INTERVAL_S
                if in_zone
                else _REMOTE_HEARTBEAT_INTERVAL_S
            )
            port = self._ports.reserve()
            self._ports.hand_over((port,))
            peer = SimulatedPeer(name, port, self._counter, interval_s)
            await peer.start()
            self._peers[name] = peer

    async def _wait_until(
        self, what: str, condition: Callable[[], Awaitable[bool]]
    ) -> None:
        until = monotonic() + _READY_TIMEOUT_S
        while not await condition():
            ended = [p for p in self._group.processes if not p.running]
            if ended:
                lines = ended[0].stderr_tail()
                raise RuntimeError(
                    f"process {ended[0].spec.name} ended: {lines}"
                )
            if monotonic() > until:
                raise RuntimeError(
                    f"{what} not ready within {_READY_TIMEOUT_S} s"
                )
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _standins_accept(self) -> bool:
        ports = [port for p in self._group.processes for port in p.spec.ports]
        try:
            for port in ports:
                _, writer = await asyncio.open_connection(LOOPBACK_HOST, port)
                writer.close()
        except OSError:
            return False
        return True
