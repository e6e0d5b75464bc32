"""A deployment of nodes, stand-ins and workers on the loopback address."""

from __future__ import annotations

from base64 import b64encode
import copy
from dataclasses import replace
import json
from typing import Any
from typing import TYPE_CHECKING

from carawaystep.adapters.http_client.http_client import HttpClient
from carawaystep.entry.supervisor import Supervisor
from carawaystep.scheduler.node_settings import NodeSettings
from carawaystep.scheduler.scheduler_node import SchedulerNode
from carawaystep_platform.front_end import FrontEnd
from carawaystep_platform.ports import PlatformPorts
from carawaystep_platform.settings import ProcessSettings
from tests.adapters.http.bound_server import bind_server
from tests.fakes.fake_counters import FakeCounters
from tests.planner.planners import RecordingLog
from tests.users_platform.placement_standin import PlacementStandin
from tests.users_platform.placement_standin import TICKET_VALIDITY_S
from tests.users_platform.store_standin import StoreStandin
from tests.users_platform.worker_standin import WorkerStandin
from tools.port_allocator import LOOPBACK_HOST

if TYPE_CHECKING:
    from starlette.applications import Starlette

    from carawaystep.adapters.http.uvicorn_server import UvicornServer
    from carawaystep.adapters.http_client.http_response import HttpResponse

_BOOKINGS_ROUTE = {
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
_ADVISED_ROUTE: dict[str, Any] = {
    **_BOOKINGS_ROUTE,
    "name": "r-2",
    "path_prefix": "/advised/",
    "recommendation": {
        "decision_ms": 20,
        "period_ms": 5,
        "validity_ms": TICKET_VALIDITY_S * 1000,
    },
}
MANIFEST = {
    "version": 3,
    "routes": [_BOOKINGS_ROUTE, _ADVISED_ROUTE],
    "services": [],
    "limits": {"max_body_bytes": 262144, "header_timeout_ms": 3000},
}

# Partition of all tables of the scheduler.
STORE_PARTITION = "scheduler"


def encode_value(value: Any) -> str:
    """Return the base64 of a JSON value, the store's encoding."""
    return b64encode(json.dumps(value).encode()).decode()


class Node:
    """A scheduler node with its front end, within the test process."""

    def __init__(
        self,
        name: str,
        store_address: str,
        advice_address: str,
        max_row_bytes: int,
    ) -> None:
        """Create a node within a running event loop.

        :param name: name of the node
        :param store_address: IP address and port of the store
        :param advice_address: IP address and port of the placement service
        :param max_row_bytes: largest value of a row
        """
        self.name = name
        self.log = RecordingLog()
        settings = ProcessSettings(
            NodeSettings(
                name,
                "zone",
                1.0,
                f"tcp://{LOOPBACK_HOST}:0",
                6.0,
                0.1,
                max_row_bytes,
            ),
            "",
            "",
            "",
            store_address,
            advice_address,
        )
        self.ports = PlatformPorts(settings, self.log)
        self.supervisor = Supervisor(FakeCounters())
        node_settings = replace(
            settings.node, cluster_address=self.ports.cluster_address
        )
        self.node = SchedulerNode(node_settings, self.ports, self.supervisor)
        app = FrontEnd(self.node, self.log).app()
        self.server = bind_server(app)
        self.port = self.server.port
        self.client = HttpClient(f"http://{LOOPBACK_HOST}:{self.port}", 4)

    @property
    def was_elected(self) -> bool:
        """Tell whether this node has been elected as the leader."""
        return self.election_count > 0

    @property
    def election_count(self) -> int:
        """Return how often this node has been elected as the leader."""
        return sum(event == "leader.elected" for event, _ in self.log.events)

    async def start(self) -> None:
        """Start the front end and the node."""
        await self.server.start()
        self.node.start()

    async def stop(self) -> None:
        """Stop the node without resigning, like a process that is killed."""
        await self.supervisor.stop()
        await self.server.stop(0.0)
        await self.client.close()
        await self.ports.close()

    async def call(
        self, method: str, path: str, body: Any = None
    ) -> HttpResponse:
        """Send a caller's request to the front end.

        :param body: text that is sent as it is, or a value that is sent as
            JSON
        """
        data = None if body is None else json.dumps(body).encode()
        if isinstance(body, str):
            data = body.encode()
        result = await self.client.request(
            method, path, 5.0, {"Host": "desk.example"}, data
        )
        return result.unwrap()


class Deployment:
    """A store, a placement service, workers and nodes."""

    def __init__(
        self,
        nodes: int,
        workers: int,
        run_s: float,
        max_row_bytes: int = 65_536,
    ) -> None:
        """Create the deployment within a running event loop.

        :param nodes: number of nodes
        :param workers: number of workers
        :param run_s: duration of each task in seconds
        :param max_row_bytes: largest value of a row of the store
        """
        self._max_row_bytes = max_row_bytes
        self._servers: list[UvicornServer] = []
        self.store = StoreStandin()
        self.store.max_row_bytes = max_row_bytes
        self.placement = PlacementStandin()
        advice_address = self._add_server(self.placement.app())
        self.workers = [
            WorkerStandin(f"i-{number}", run_s) for number in range(workers)
        ]
        for worker in self.workers:
            worker.address = self._add_server(worker.app())
        self.nodes = [
            self._create_node(f"edge-{number}", advice_address)
            for number in range(nodes)
        ]

    def _create_node(self, name: str, advice_address: str) -> Node:
        """Create a node with its own address of the store.

        The separate address lets the store inject faults for this node only.
        """
        store_address = self._add_server(self.store.app(name))
        return Node(name, store_address, advice_address, self._max_row_bytes)

    def _add_server(self, app: Starlette) -> str:
        """Add a server that starts with the deployment; return its address."""
        server = bind_server(app)
        self._servers.append(server)
        return f"{LOOPBACK_HOST}:{server.port}"

    async def start(self) -> None:
        """Start all servers and nodes; store the manifest and the workers."""
        for server in self._servers:
            await server.start()
        await self.put_manifest(MANIFEST)
        for worker in self.workers:
            await self.register_worker(worker)
        for node in self.nodes:
            await node.start()

    async def put_manifest(self, manifest: dict[str, Any]) -> None:
        """Store a manifest, as the operator does."""
        await self.store.put("op", "config", encode_value(manifest))

    async def slow_placement_down(self, per_worker_s: float) -> None:
        """Raise the response time of the placement service by a manifest.

        :param per_worker_s: time that a call takes for each worker, seconds
        """
        advised = copy.deepcopy(_ADVISED_ROUTE)
        advised["recommendation"]["period_ms"] = per_worker_s * 1000
        manifest = {
            **MANIFEST,
            "version": 9,
            "routes": [_BOOKINGS_ROUTE, advised],
        }
        await self.put_manifest(manifest)
        self.placement.per_worker_s = per_worker_s

    async def register_worker(self, worker: WorkerStandin) -> None:
        """Write the row that a worker writes when it starts."""
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
        await self.store.put("servers", worker.name, encode_value(row))

    async def remove_worker(self, worker: WorkerStandin) -> None:
        """Take a worker away for good and delete its row."""
        worker.unreachable = True
        await self.store.delete("servers", worker.name)

    async def stop(self) -> None:
        """Stop all nodes and servers."""
        for node in self.nodes:
            await node.stop()
        for server in self._servers:
            await server.stop(0.0)
