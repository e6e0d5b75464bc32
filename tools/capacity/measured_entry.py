"""Runs one entry process whose traffic is measured."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
import json
import os
from secrets import token_hex
import sys
import time
from time import monotonic
from typing import TYPE_CHECKING

import psutil
from result import Ok

from carawaystep.adapters.http_client.http_client import HttpClient
from carawaystep.adapters.platform_http.table_service import HttpTableService
from carawaystep.settings.entry_settings import AccessSettings
from carawaystep.settings.entry_settings import EntrySettings
from carawaystep.settings.entry_settings import ListenSettings
from carawaystep.settings.entry_settings import PlatformSettings
from carawaystep.settings.standin_platform_settings import (
    StandinPlatformSettings,
)
from carawaystep.settings.standin_platform_settings import StandinVmSettings
from carawaystep.settings.standin_worker_settings import (
    StandinWorkerProcessSettings,
)
from carawaystep.settings.standin_worker_settings import StandinWorkerSettings
from tools.capacity.counting_relay import CountingRelay
from tools.capacity.simulated_deployment import MEASURED_ENTRY
from tools.capacity.simulated_deployment import MEASURED_ZONE
from tools.capacity.simulated_deployment import SimulatedDeployment
from tools.capacity.simulated_peer import SimulatedPeer
from tools.capacity.traffic_counter import TrafficCounter
from tools.port_allocator import LOOPBACK_HOST
from tools.port_allocator import PortAllocator
from tools.process_group import ProcessGroup
from tools.process_spec import ProcessSpec

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path
    from typing import Any

    from carawaystep.settings.settings_model import SettingsModel
    from carawaystep.store.operation import PutRow
    from tools.capacity.scenario import Scenario

_READY_TIMEOUT_S = 90.0
_POLL_INTERVAL_S = 0.2
_CALL_TIMEOUT_S = 5.0
_STOP_TIMEOUT_S = 5.0
_ROWS_PER_TRANSACTION = 100
_ZONE_HEARTBEAT_INTERVAL_S = 1.0
_REMOTE_HEARTBEAT_INTERVAL_S = 5.0
_HEARTBEAT_ROW_INTERVAL_S = 2.0
# With its usual limits the stand-in would delay the rows written here.
_UNLIMITED_PER_S = 1_000_000.0
# Workers with only the slots reserved for requests have none for tasks, so
# that jobs stay queued.
_SLOTS_FOR_REQUESTS_ONLY = 2
# Longer than the measurement, so that tasks run through all of it.
_LONG_JOB_RUN_S = 600.0
_SHORT_JOB_RUN_S = 0.5


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
        self._directory = directory
        self._deployment = SimulatedDeployment(scenario)
        self._counter = TrafficCounter()
        self._ports = PortAllocator()
        self._group = ProcessGroup(directory)
        self._stack = AsyncExitStack()
        self._token = token_hex(24)
        self._peers: dict[str, SimulatedPeer] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._relays: dict[str, CountingRelay] = {}
        self._platform_port = self._ports.reserve()
        self._http_port = self._ports.reserve()
        self._peer_port = self._ports.reserve()
        self._start_cpu_s = 0.0
        self._table = HttpTableService(
            PlatformSettings(
                url=f"http://{LOOPBACK_HOST}:{self._platform_port}"
            )
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
        for name, port in worker_ports.items():
            self._relays[name] = await self._start_relay("workers", port)
        platform = await self._start_relay("platform", self._platform_port)
        incoming = await self._start_relay("peers/in", self._peer_port, True)
        self._start_standins(worker_ports)
        await self._wait_until("stand-ins", self._standins_accept)
        await self._start_peers()
        await self._insert_rows()
        self._start_task(self._renew_heartbeat_rows())
        self._start_process(self._entry_spec(platform.port))
        await self._wait_until("entry", self._is_ready)
        self._start_cpu_s = self._cpu_s()
        for peer in self._peers.values():
            peer.start_heartbeats(incoming.port)
        await self._wait_until(
            "workers and jobs of the entry", self._has_scenario_state
        )
        self._start_task(self._insert_jobs())
        self._start_task(self._change_documents())

    async def stop(self) -> None:
        """Stop all processes, the entry first."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._group.stop(_STOP_TIMEOUT_S, "entry")
        await self._group.stop(_STOP_TIMEOUT_S)
        await asyncio.gather(*(peer.stop() for peer in self._peers.values()))
        await self._table.close()
        await self._stack.aclose()
        self._ports.close()

    def _cpu_s(self) -> float:
        times = self.process.cpu_times()
        return float(times.user + times.system)

    def _start_task(self, coroutine: Any) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def _start_relay(
        self, group: str, port: int, inbound: bool = False
    ) -> CountingRelay:
        relay = CountingRelay(self._counter, group, port, inbound)
        await relay.start()
        self._stack.push_async_callback(relay.stop)
        return relay

    def _start_standins(self, worker_ports: dict[str, int]) -> None:
        vms = [
            StandinVmSettings(
                name=name,
                availability_zone=MEASURED_ZONE,
                rack="rack-1",
                url=f"http://{LOOPBACK_HOST}:{relay.port}",
            )
            for name, relay in self._relays.items()
        ] + [
            StandinVmSettings(
                name=name,
                availability_zone=zone,
                rack="rack-1",
                url=f"http://{LOOPBACK_HOST}:9",
            )
            for name, zone in self._deployment.other_vms
        ]
        platform = StandinPlatformSettings(
            http=ListenSettings(host=LOOPBACK_HOST, port=self._platform_port),
            writes_per_s=_UNLIMITED_PER_S,
            reads_per_s=_UNLIMITED_PER_S,
            vms=vms,
        )
        slots = _SLOTS_FOR_REQUESTS_ONLY if self._scenario.jobs else 8
        workers = StandinWorkerProcessSettings(
            workers=[
                StandinWorkerSettings(
                    name=name,
                    http=ListenSettings(host=LOOPBACK_HOST, port=port),
                    slots=slots,
                )
                for name, port in worker_ports.items()
            ]
        )
        self._start_process(
            self._process_spec(
                "platform",
                platform,
                (self._platform_port,),
            )
        )
        self._start_process(
            self._process_spec(
                "workers",
                workers,
                tuple(worker_ports.values()),
            )
        )

    def _entry_spec(self, platform_port: int) -> ProcessSpec:
        tokens = self._directory / "tokens.yaml"
        rows = [{"token": self._token, "team": "*", "roles": ["operator"]}]
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
        with os.fdopen(os.open(tokens, flags, 0o600), "w") as file:
            json.dump(rows, file)
        settings = EntrySettings(
            name=MEASURED_ENTRY,
            availability_zone=MEASURED_ZONE,
            http=ListenSettings(host=LOOPBACK_HOST, port=self._http_port),
            advertised_url=f"http://{LOOPBACK_HOST}:{self._http_port}",
            peer_address=f"tcp://{LOOPBACK_HOST}:{self._peer_port}",
            platform=PlatformSettings(
                url=f"http://{LOOPBACK_HOST}:{platform_port}"
            ),
            access=AccessSettings(tokens_file=tokens),
            drain_limit_s=1.0,
        )
        return self._process_spec(
            MEASURED_ENTRY, settings, (self._http_port, self._peer_port)
        )

    def _process_spec(
        self, name: str, settings: SettingsModel, ports: tuple[int, ...]
    ) -> ProcessSpec:
        # JSON is valid YAML and much faster to write for thousands of VMs.
        path = self._directory / f"{name}.json"
        path.write_text(settings.model_dump_json())
        if name == MEASURED_ENTRY:
            arguments = ("carawaystep", "entry", "--settings", str(path))
            return ProcessSpec(
                "entry", name, (sys.executable, "-m", *arguments), ports=ports
            )
        arguments = ("tools.capacity.standin_host", name, str(path))
        return ProcessSpec(
            "standin", name, (sys.executable, "-m", *arguments), ports=ports
        )

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

    async def _insert_rows(self) -> None:
        scenario, deployment = self._scenario, self._deployment
        now = time.time()
        await self._write_rows(
            [
                deployment.document_row(index)
                for index in range(scenario.documents)
            ]
            + [
                deployment.job_row(f"queued-{index}", _LONG_JOB_RUN_S, now)
                for index in range(scenario.jobs + scenario.running)
            ]
        )
        await self._write_heartbeat_rows(1)

    async def _write_rows(self, rows: Sequence[PutRow]) -> None:
        for first in range(0, len(rows), _ROWS_PER_TRANSACTION):
            written = await self._table.transact(
                rows[first : first + _ROWS_PER_TRANSACTION]
            )
            if not isinstance(written, Ok):
                raise RuntimeError(
                    f"rows were not written: {written.err_value}"
                )

    async def _write_heartbeat_rows(self, heartbeat_number: int) -> None:
        ports = {name: peer.port for name, peer in self._peers.items()}
        await self._write_rows(
            [
                self._deployment.entry_row(
                    name, ports.get(name), heartbeat_number
                )
                for name in self._deployment.peers
            ]
        )

    async def _renew_heartbeat_rows(self) -> None:
        heartbeat_number = 1
        while True:
            await asyncio.sleep(_HEARTBEAT_ROW_INTERVAL_S)
            heartbeat_number += 1
            await self._write_heartbeat_rows(heartbeat_number)

    async def _insert_jobs(self) -> None:
        start, number = monotonic(), 0
        while self._scenario.starts_per_s > 0:
            number += 1
            row = self._deployment.job_row(
                f"short-{number}", _SHORT_JOB_RUN_S, time.time()
            )
            await self._write_rows([row])
            next_at = start + number / self._scenario.starts_per_s
            await asyncio.sleep(max(0.0, next_at - monotonic()))

    async def _change_documents(self) -> None:
        revision = 0
        while self._scenario.document_changes_per_s > 0:
            revision += 1
            number = revision % max(1, self._scenario.documents)
            await self._write_rows(
                [self._deployment.document_row(number, revision)]
            )
            await asyncio.sleep(1 / self._scenario.document_changes_per_s)

    async def _wait_until(self, what: str, condition: Any) -> None:
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

    async def _get(self, path: str) -> tuple[int, bytes]:
        client = HttpClient(f"http://{LOOPBACK_HOST}:{self._http_port}", 1)
        headers = {"Authorization": f"Bearer {self._token}"}
        answer = await client.request("GET", path, _CALL_TIMEOUT_S, headers)
        await client.close()
        if not isinstance(answer, Ok):
            return 0, b""
        return answer.ok_value.status, answer.ok_value.body

    async def _is_ready(self) -> bool:
        return (await self._get("/readyz"))[0] == 200

    async def _has_scenario_state(self) -> bool:
        code, body = await self._get("/v1/status")
        if code != 200:
            return False
        status = json.loads(body)
        scenario = self._scenario
        usable = sum(worker["usable"] for worker in status["workers"])
        tasks = sum(worker["tasks"] for worker in status["workers"])
        connected = sum(peer["connected"] for peer in status["peers"])
        return (
            usable == scenario.workers
            and tasks >= scenario.running
            and status["jobs_known"] >= scenario.jobs
            and connected == len(self._peers)
        )
