"""The system's own processes on loopback, with stand-ins of the platform."""

from __future__ import annotations

import asyncio
import copy
import json
from pathlib import Path
from subprocess import DEVNULL
from subprocess import Popen
import sys
from typing import TYPE_CHECKING

import psutil

from carawaystep.adapters.http_client.http_client import HttpClient
from tests.adapters.http.bound_server import bind_server
from tests.users_platform.deployment import encode_value
from tests.users_platform.deployment import MANIFEST
from tests.users_platform.store_standin import StoreStandin
from tests.users_platform.worker_standin import WorkerStandin
from tools.port_allocator import LOOPBACK_HOST
from tools.port_allocator import PortAllocator

if TYPE_CHECKING:
    from carawaystep.adapters.http_client.http_response import HttpResponse

_ROOT = Path(__file__).resolve().parents[2]
_START_LIMIT_S = 20.0
_CALL_LIMIT_S = 30.0
_INTERVAL_S = 0.1
# Established connections in the table of the kernel.
_ESTABLISHED = "01"


class SystemProcess:
    """One process with its settings file, started from the checkout."""

    def __init__(
        self,
        name: str,
        directory: Path,
        ports: PortAllocator,
        store_address: str,
        limits: dict[str, int],
        bounds: dict[str, int] | None = None,
    ) -> None:
        """Start the process.

        :param name: name of its node
        :param directory: directory of its settings file and its log
        :param ports: allocator of its ports
        :param store_address: IP address and port of the store
        :param limits: section of its settings
        :param bounds: section of its settings, None for the defaults
        """
        self.name = name
        self.front_port = ports.reserve()
        self.ready_port = ports.reserve()
        self.cluster_port = ports.reserve()
        self.metrics_port = ports.reserve()
        listening = self.listening_ports
        ports.hand_over(listening)
        settings = directory / f"{name}.toml"
        settings.write_text(
            f'node_name = "{name}"\n'
            f'ip = "{LOOPBACK_HOST}"\n'
            'zone = "zone"\n'
            f"port_range = [{self.cluster_port}, {self.metrics_port}]\n"
            "[listen_addrs]\n"
            f'front = "{LOOPBACK_HOST}:{self.front_port}"\n'
            f'ready = "{LOOPBACK_HOST}:{self.ready_port}"\n'
            "[platform]\n"
            f'address = "{store_address}"\n'
            + _section("limits", limits)
            + _section("bounds", bounds or {})
        )
        self._log_path = directory / f"{name}.log"
        with self._log_path.open("wb") as log:
            self._process = Popen(  # noqa: S603
                [sys.executable, str(_ROOT / "platform" / "run.py")],
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
                env={"CARAWAYSTEP_CONFIG": str(settings)},
            )
        self._observed = psutil.Process(self._process.pid)
        self._front = HttpClient(
            f"http://{LOOPBACK_HOST}:{self.front_port}", 4
        )
        self._ready = HttpClient(
            f"http://{LOOPBACK_HOST}:{self.ready_port}", 1
        )

    @property
    def listening_ports(self) -> tuple[int, ...]:
        """Return the ports on which the process listens."""
        return (
            self.front_port,
            self.ready_port,
            self.cluster_port,
            self.metrics_port,
        )

    @property
    def running(self) -> bool:
        """Tell whether the process runs."""
        return self._process.poll() is None

    @property
    def open_descriptors(self) -> int:
        """Return the number of open file descriptors."""
        return self._observed.num_fds()

    @property
    def held_bytes(self) -> int:
        """Return the resident memory and what its sockets have buffered.

        The buffers hold what was received and not read yet, and what was
        sent and not taken by the peer.
        """
        return self._observed.memory_info().rss + self._buffered_bytes()

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    def log_events(self) -> list[str]:
        """Return the names of the events that it has logged."""
        lines = self._log_path.read_text().splitlines()
        return [json.loads(line)["event"] for line in lines if line[:1] == "{"]

    def log_tail(self) -> str:
        """Return the end of its output."""
        return self._log_path.read_text()[-2000:]

    async def wait_until_ready(self) -> None:
        """Wait until the readiness check succeeds.

        :raises TimeoutError: it does not within 20 s
        """
        async with asyncio.timeout(_START_LIMIT_S):
            while True:
                answer = await self._ready.request(
                    "GET", "/api/ready", 1.0, {}, None
                )
                if answer.is_ok() and answer.unwrap().status == 200:
                    return
                await asyncio.sleep(_INTERVAL_S)

    async def call(
        self, method: str, path: str, body: object = None
    ) -> HttpResponse:
        """Send a caller's request, again after a refusal, and return the end.

        :raises TimeoutError: all calls were refused for 30 s
        """
        data = None if body is None else json.dumps(body).encode()
        async with asyncio.timeout(_CALL_LIMIT_S):
            while True:
                result = await self._front.request(
                    method, path, 5.0, {"Host": "desk.example"}, data
                )
                if result.is_ok() and result.unwrap().status < 500:
                    return result.unwrap()
                await asyncio.sleep(_INTERVAL_S)

    async def stop(self) -> None:
        """Kill the process."""
        await self._front.close()
        await self._ready.close()
        self._process.kill()
        self._process.wait()

    def _buffered_bytes(self) -> int:
        own_ports = {f"{port:04X}" for port in self.listening_ports}
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            if state == _ESTABLISHED and local.split(":")[1] in own_ports:
                total += sum(int(queue, 16) for queue in queues.split(":"))
        return total


def _section(name: str, values: dict[str, int]) -> str:
    lines = [f"{key} = {value}\n" for key, value in values.items()]
    return "".join([f"[{name}]\n", *lines])


class ProcessDeployment:
    """Processes of the system, a store and a worker."""

    def __init__(
        self, directory: Path, count: int, limits: dict[str, int]
    ) -> None:
        """Create a deployment that is not started.

        :param directory: directory of settings files and logs
        :param count: number of processes
        :param limits: section of the settings of each process
        """
        self._directory = directory
        self._count = count
        self._limits = limits
        self._ports = PortAllocator()
        self._store = StoreStandin()
        self._worker = WorkerStandin("i-0", run_s=0.1)
        self._servers = [
            bind_server(self._store.app("all")),
            bind_server(self._worker.app()),
        ]
        self.processes: list[SystemProcess] = []

    async def start(self, max_body_bytes: int) -> None:
        """Start the stand-ins and the processes; wait until all are ready.

        :param max_body_bytes: limit of bodies in the manifest
        """
        for server in self._servers:
            await server.start()
        store_server, worker_server = self._servers
        self._worker.address = f"{LOOPBACK_HOST}:{worker_server.port}"
        manifest = copy.deepcopy(MANIFEST)
        manifest["limits"]["max_body_bytes"] = max_body_bytes
        await self._store.put("op", "config", encode_value(manifest))
        await self._store.put("servers", "i-0", encode_value(self._row()))
        store_address = f"{LOOPBACK_HOST}:{store_server.port}"
        for number in range(self._count):
            process = SystemProcess(
                f"edge-{number}",
                self._directory,
                self._ports,
                store_address,
                self._limits,
            )
            self.processes.append(process)
        for process in self.processes:
            await process.wait_until_ready()

    async def stop(self) -> None:
        """Kill the processes and stop the stand-ins."""
        for process in self.processes:
            await process.stop()
        for server in self._servers:
            await server.stop(0.0)
        self._ports.close()

    def _row(self) -> dict[str, object]:
        """Return the row that the worker writes when it starts."""
        return {
            "service": "desk",
            "address": self._worker.address,
            "zone": "zone",
            "state": "ready",
            "capacity": {"cpu": 4000, "mem_mb": 4000, "gpu": 0},
            "labels": ["a", "r1"],
            "born": self._worker.born,
        }
