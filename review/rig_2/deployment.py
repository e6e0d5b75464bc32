"""Starts the system's processes as deploy/system.toml says."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import os
from pathlib import Path
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from typing import Any
from typing import TYPE_CHECKING

from review.rig_2.http import call
from review.rig_2.http import HOST
from review.rig_2.http import HttpServer
from review.rig_2.store import Store

if TYPE_CHECKING:
    from review.rig_2.worker import Worker

ROOT = Path(__file__).resolve().parent.parent.parent
HOST_NAME = "desk.example"
PREFIX = "/bookings/"
# Delay after which the platform starts a process again that has ended.
_RESTART_S = 0.5
_PORTS = (15_000, 30_000)
_given_ports: set[int] = set()

_SETTINGS = """\
node_name = "{name}"
role = "scheduler"
machine_class = "edge"
serves = ["edge"]
ip = "{host}"
zone = "{zone}"
region = "region"
port_range = [{first},{last}]
seeds = []
bootstrap = true
discovery = "platform"
heartbeat_ms = 1500
policies = ["base","drain","config","cost","recover","sched","platform",
    "advice","upkeep","sharing"]
commands = "rpc"
recommendation = "{advice}"
[listen_addrs]
front = "{host}:{front}"
ready = "{host}:{ready}"
[limits]
cpu_quota = 1.0
cores = 1
memory_mb = 300
max_fds = 4100
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
max_hold_ms = 6000
stop_timeout_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
notice_ms = 4500
[platform]
address = "{store}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
txn_timeout_ms = 4.0
part_writes_s = 250
row_bytes = 65536
cross_region = true
history_s = 20
"""


class Record:
    """Writes record.txt, one line for each event."""

    def __init__(self, path: Path) -> None:
        """Open the file anew."""
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line with the seconds since the script began."""
        elapsed = time.monotonic() - self._began
        self._file.write(f"{elapsed:8.3f} {text}\n")
        self._file.flush()


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free now, in ascending order.

    They lie below those that systems give to outgoing channels, and are
    drawn at random, so that another script is unlikely to take them before
    they are used. No port is returned twice.
    """
    ports: set[int] = set()
    while len(ports) < count:
        port = random.randrange(*_PORTS)
        if port in _given_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        _given_ports.add(port)
        ports.add(port)
    return sorted(ports)


@dataclass
class Node:
    """One process of the system and its settings."""

    name: str
    zone: str
    settings: Path
    front: int
    ready: int
    process: asyncio.subprocess.Process | None = None
    wanted: bool = True
    exits: int = 0


class Deployment:
    """A store, workers and processes of the system on loopback addresses."""

    def __init__(self, folder: Path, record: Record) -> None:
        """Create an empty deployment.

        :param folder: folder of settings and logs
        """
        self.folder = folder
        self.record = record
        self.store = Store()
        self.store_server = HttpServer(self.store.handle)
        self.advice_address = ""
        self.workers: list[Worker] = []
        self.nodes: list[Node] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(
        self,
        node_count: int,
        manifest: dict[str, Any],
        zones: tuple[str, ...] = ("zone",),
    ) -> None:
        """Start everything and wait until all processes are ready.

        :param zones: zones of the machines, in turn
        """
        await self.store_server.start()
        await self.store.put("op", "config", manifest)
        for worker in self.workers:
            await worker.start()
        for number in range(node_count):
            zone = zones[number % len(zones)]
            node = self._create_node(f"edge-{number + 1}", zone)
            self.nodes.append(node)
            await self.launch(node)
            self._tasks.append(asyncio.create_task(self._restart(node)))
        await self.wait_ready()

    def _create_node(self, name: str, zone: str) -> Node:
        first, last, front, ready = free_ports(4)
        settings = self.folder / f"{name}.toml"
        settings.write_text(
            _SETTINGS.format(
                name=name,
                host=HOST,
                zone=zone,
                first=first,
                last=last,
                front=front,
                ready=ready,
                store=self.store_server.address,
                advice=self.advice_address,
            )
        )
        return Node(name, zone, settings, front, ready)

    async def launch(self, node: Node) -> None:
        """Start the process of a node with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["scheduler"]["run"])
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CARAWAYSTEP_CONFIG"] = str(node.settings)
        log = (self.folder / f"{node.name}.log").open("ab")
        node.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record(f"{node.name} process {node.process.pid} started")

    async def _restart(self, node: Node) -> None:
        """Start the process again whenever it ends, as the platform does."""
        while True:
            process = node.process
            assert process is not None
            code = await process.wait()
            node.exits += 1
            self.record(f"{node.name} process {process.pid} ended: {code}")
            await asyncio.sleep(_RESTART_S)
            while not node.wanted:
                await asyncio.sleep(0.05)
            await self.launch(node)

    def remove(self, node: Node) -> None:
        """Take a machine away for good, without SIGTERM."""
        node.wanted = False
        if node.process is not None and node.process.returncode is None:
            node.process.kill()

    def leader(self) -> Node:
        """Return the machine that last wrote to the store as the leader."""
        name = self.store.values("control")["leader"]["name"]
        return next(node for node in self.nodes if node.name == name)

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        """Wait until the readiness of all processes is 200."""
        async with asyncio.timeout(limit_s):
            for node in self.nodes:
                while True:
                    answer = await call(
                        node.ready, "GET", "/api/ready", HOST_NAME
                    )
                    if answer is not None and answer[0] == 200:
                        break
                    await asyncio.sleep(0.1)

    async def call(
        self,
        node: Node,
        method: str,
        key: str,
        body: Any = None,
        prefix: str = PREFIX,
    ) -> tuple[int, Any] | None:
        """Call the front end of a node for one submission, on the record."""
        answer = await call(
            node.front, method, prefix + key, HOST_NAME, body
        )
        shown = "no answer" if answer is None else f"{answer[0]} {answer[1]}"
        self.record(f"client {method} {key} at {node.name}: {shown}")
        return answer

    async def submit(
        self,
        key: str,
        body: Any,
        limit_s: float = 20.0,
        prefix: str = PREFIX,
    ) -> bool:
        """Hand a submission in, at each node in turn, until it is accepted."""
        deadline = time.monotonic() + limit_s
        attempt = 0
        while time.monotonic() < deadline:
            node = self.nodes[attempt % len(self.nodes)]
            attempt += 1
            answer = await self.call(node, "POST", key, body, prefix)
            if answer is not None and answer[0] == 200:
                return True
            if answer is not None and answer[0] not in (429, 502, 503, 504):
                return False
            await asyncio.sleep(0.5)
        return False

    async def state(self, key: str, prefix: str = PREFIX) -> str:
        """Return the state that the first node that answers shows."""
        for node in self.nodes:
            if not node.wanted:
                continue
            answer = await self.call(node, "GET", key, prefix=prefix)
            if answer is not None and answer[0] == 200:
                return str(answer[1]["state"])
            if answer is not None and answer[0] == 410:
                return "absent"
        return "unreadable"

    async def stop(self) -> None:
        """End all processes that this deployment started, each by its id."""
        for task in self._tasks:
            task.cancel()
        # A start that is interrupted ends its process before it returns.
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes:
            process = node.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for worker in self.workers:
            await worker.stop()
        await self.store_server.stop()


def route(**fields: Any) -> dict[str, Any]:
    """Return the manifest's route of the queue that scripts use."""
    return {
        "name": "r-1",
        "host": HOST_NAME,
        "path_prefix": PREFIX,
        "type": "non_idempotent",
        "timeout_ms": 3000,
        "target_duration_ms": 250,
        "priority": 0,
        "service": "desk",
        "max_attempts": 3,
        "stretch": 1.5,
        **fields,
    }


def manifest(*routes: dict[str, Any]) -> dict[str, Any]:
    """Return a manifest with one service."""
    return {
        "version": 3,
        "routes": list(routes),
        "services": [{"name": "desk", "enforces_capacity": True}],
        "limits": {"max_body_bytes": 262144, "header_timeout_ms": 3000},
    }


def main(folder: str, scenario: Any, limit_s: float = 110.0) -> None:
    """Run a scenario and exit with 0, 1 or 2.

    :param folder: folder of the case, which gets record.txt
    :param scenario: coroutine function of a deployment and whether the
        disruption is to happen; returns the broken rules
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    sys.exit(asyncio.run(_run(record, scenario, trouble, limit_s)))


async def _run(
    record: Record, scenario: Any, trouble: bool, limit_s: float
) -> int:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    with tempfile.TemporaryDirectory() as name:
        deployment = Deployment(Path(name), record)
        try:
            async with asyncio.timeout(limit_s):
                broken = await scenario(deployment, trouble)
        # The case could not run, or was stopped by a signal.
        except (Exception, asyncio.CancelledError) as error:
            record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await deployment.stop()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for log in Path(name).glob("*.log"):
                    (Path(keep) / log.name).write_bytes(log.read_bytes())
    for line in broken:
        record(f"BROKEN {line}")
        print(line)
    record("result: " + ("broken" if broken else "held"))
    print("broken" if broken else "held")
    return 1 if broken else 0
