"""Nodes, store and workers of one deployment on loopback."""

from __future__ import annotations

from base64 import b64encode
import json
import socket
from typing import Any
from typing import TYPE_CHECKING

from carawaystep.adapters.http.uvicorn_server import UvicornServer
from carawaystep.adapters.http_client.http_client import HttpClient
from carawaystep.entry.supervisor import Supervisor
from carawaystep.scheduler.node_settings import NodeSettings
from carawaystep.scheduler.scheduler_node import SchedulerNode
from carawaystep_platform.front_end import FrontEnd
from carawaystep_platform.ports import PlatformPorts
from carawaystep_platform.settings import PlatformSettings
from tests.fakes.fake_counters import FakeCounters
from tests.planner.planners import RecordingLog
from tests.users_platform.placement_standin import PlacementStandin
from tests.users_platform.placement_standin import VALIDITY_S
from tests.users_platform.store_standin import StoreStandin
from tests.users_platform.worker_standin import WorkerStandin

if TYPE_CHECKING:
    from starlette.applications import Starlette

    from carawaystep.adapters.http_client.http_response import HttpResponse

_BOOKINGS = {
    "name": "r-1",
    "host": "desk.example",
    "path_prefix": "/bookings/",
    "type": "non_idempotent",
    "timeout_ms": 3000,
    "target_duration_ms": 250,
    "priority": 0,
    "service": "desk",
    "max_attempts": 3,
    "stretch": 1.5,
}
_ADVISED = {
    **_BOOKINGS,
    "name": "r-2",
    "path_prefix": "/advised/",
    "recommendation": {
        "decision_ms": 20,
        "period_ms": 5,
        "validity_ms": VALIDITY_S * 1000,
    },
}
MANIFEST = {
    "version": 3,
    "routes": [_BOOKINGS, _ADVISED],
    "services": [],
    "limits": {"max_body_bytes": 262144, "header_timeout_ms": 3000},
}


def encoded(value: Any) -> str:
    """Return a value as the store keeps it."""
    return b64encode(json.dumps(value).encode()).decode()


def free_port() -> int:
    """Return a port that is free at the moment."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


class Node:
    """One process of the deployment, without its process."""

    def __init__(
        self, name: str, store_address: str, advice_address: str
    ) -> None:
        """Compose a node; call it within a running loop."""
        self.name = name
        self.log = RecordingLog()
        self.port = free_port()
        settings = PlatformSettings(
            NodeSettings(
                name, "zone", 1.0, f"tcp://127.0.0.1:{free_port()}", 6.0, 0.1
            ),
            f"127.0.0.1:{self.port}",
            "",
            "",
            store_address,
            advice_address,
        )
        self.ports = PlatformPorts(settings, self.log)
        self.supervisor = Supervisor(FakeCounters())
        self.node = SchedulerNode(settings.node, self.ports, self.supervisor)
        app = FrontEnd(self.node, self.log).app()
        self.server = UvicornServer(app, "127.0.0.1", self.port)
        self.client = HttpClient(f"http://127.0.0.1:{self.port}", 4)

    @property
    def leads(self) -> bool:
        """Tell whether this node was elected."""
        return any(event == "leader.elected" for event, _ in self.log.events)

    async def start(self) -> None:
        """Serve callers and start the node."""
        await self.server.start()
        self.node.start()

    async def stop(self) -> None:
        """End the node as a killed process does, without a farewell."""
        await self.supervisor.stop()
        await self.server.stop(0.0)
        await self.client.close()
        await self.ports.close()

    async def call(
        self, method: str, path: str, body: Any = None
    ) -> HttpResponse:
        """Call the front end as a requester does."""
        data = None if body is None else json.dumps(body).encode()
        if isinstance(body, str):
            data = body.encode()
        result = await self.client.request(
            method, path, 5.0, {"Host": "desk.example"}, data
        )
        return result.unwrap()


class Deployment:
    """Store, workers and nodes."""

    def __init__(self, nodes: int, workers: int, run_s: float) -> None:
        """Compose the deployment; call it within a running loop."""
        self._servers: list[UvicornServer] = []
        self.store = StoreStandin()
        self.placement = PlacementStandin()
        advice_address = self._serve(self.placement.app())
        self.workers = [
            WorkerStandin(f"i-{number}", run_s) for number in range(workers)
        ]
        self.nodes = [
            self._new_node(f"edge-{number}", advice_address)
            for number in range(nodes)
        ]

    def _new_node(self, name: str, advice_address: str) -> Node:
        """Return a node with an address of the store for itself."""
        store_address = self._serve(self.store.app(name))
        return Node(name, store_address, advice_address)

    def _serve(self, app: Starlette) -> str:
        """Return the address of a server that starts with the deployment."""
        port = free_port()
        self._servers.append(UvicornServer(app, "127.0.0.1", port))
        return f"127.0.0.1:{port}"

    async def start(self) -> None:
        """Start everything and write manifest and workers."""
        for server in self._servers:
            await server.start()
        await self.store.put("op", "config", encoded(MANIFEST))
        for worker in self.workers:
            port = free_port()
            server = UvicornServer(worker.app(), "127.0.0.1", port)
            await server.start()
            self._servers.append(server)
            worker.address = f"127.0.0.1:{port}"
            await self.list_worker(worker)
        for node in self.nodes:
            await node.start()

    async def list_worker(self, worker: WorkerStandin) -> None:
        """Write the row of a worker, as it does itself."""
        row = {
            "service": "desk",
            "address": worker.address,
            "zone": "zone",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": 4000, "mem_mb": 4000, "gpu": 0},
            "labels": ["a", "r1"],
            "seq": 1,
            "born": worker.born,
        }
        await self.store.put("servers", worker.name, encoded(row))

    async def stop(self) -> None:
        """Stop everything."""
        for node in self.nodes:
            await node.stop()
        for server in self._servers:
            await server.stop(0.0)
