"""The project's processes, a store and workers on loopback."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

from store import Store
from web import call

ROOT = Path(__file__).resolve().parents[1]
HOST = "desk.example"
ROUTE = {
    "name": "bookings",
    "host": HOST,
    "path_prefix": "/bookings/",
    "type": "non_idempotent",
    "timeout_ms": 3000,
    "target_duration_ms": 250,
    "priority": 0,
    "service": "desk",
    "max_attempts": 3,
    "stretch": 1.5,
}
MANIFEST = {
    "version": 3,
    "routes": [ROUTE],
    "services": [{"name": "desk", "enforces_capacity": True}],
    "limits": {"max_body_bytes": 262144, "header_timeout_ms": 3000},
}
RESTART_DELAY_S = 1.0

_SETTINGS = """\
node_name = "{name}"
role = "scheduler"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "z1"
region = "r1"
port_range = [{first}, {last}]
seeds = []
bootstrap = true
heartbeat_ms = 1500
commands = "rpc"
[zones]
z1 = "r1"
[listen_addrs]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu_quota = 1.0
cores = 1
memory_mb = 300
max_fds = 4100
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
config_apply_ms = 2000
grace_s = 6
max_hold_ms = {max_hold_ms}
stop_timeout_ms = 200
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
checkpoint_s = 2
[platform]
address = "{store}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
txn_timeout_ms = 4.0
part_writes_s = 250
row_bytes = 65536
history_s = 20
"""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Node:
    def __init__(self, name, command, directory, record):
        self.name = name
        self.command = command
        self._record = record
        self.settings = directory / f"{name}.toml"
        self._log = directory / f"{name}.log"
        self.process = None
        self.ip = "127.0.0.1"
        self.front = free_port()
        self.ready = free_port()
        self.first, self.last = free_port(), free_port()

    def write_settings(self, store, max_hold_ms, ip="127.0.0.1"):
        self.ip = ip
        self.settings.write_text(
            _SETTINGS.format(
                name=self.name,
                ip=ip,
                first=self.first,
                last=self.last,
                front=self.front,
                ready=self.ready,
                store=store,
                max_hold_ms=max_hold_ms,
            )
        )

    def start(self):
        environment = {
            k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ
        }
        environment["CARAWAYSTEP_CONFIG"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record(f"started {self.name}")

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self._record(f"{signal.Signals(number).name} to {self.name}")
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def log_lines(self):
        return self._log.read_text(errors="replace").splitlines()

    async def is_ready(self):
        status, _ = await call(
            f"{self.ip}:{self.ready}", "GET", "/api/ready", timeout_s=1.0
        )
        return status == 200

    async def call(self, method, path, body=None, timeout_s=3.0):
        return await call(
            f"{self.ip}:{self.front}",
            method,
            path,
            body,
            {"Host": HOST},
            timeout_s,
        )


class Deployment:
    def __init__(self, record, nodes=3, max_hold_ms=6000):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["scheduler"]["run"].split()
        self._temporary = tempfile.TemporaryDirectory()
        self.directory = Path(self._temporary.name)
        self.record = record
        self.max_hold_ms = max_hold_ms
        self.store = Store(record)
        self.workers = []
        self.steps = {}
        self.nodes = [
            Node(f"edge-{n + 1}", command, self.directory, record)
            for n in range(nodes)
        ]

    async def start(self):
        await self.store.put("op", "config", MANIFEST)
        for worker in self.workers:
            worker.steps = self.steps
            await worker.start()
        for node in self.nodes:
            address = await self.store.open_port(node.name)
            node.write_settings(address, self.max_hold_ms)
            node.start()
        await self.wait(self._all_ready, 20, "the nodes are ready")
        await asyncio.sleep(2.0)

    async def _all_ready(self):
        return all([await node.is_ready() for node in self.nodes])

    async def wait(self, condition, limit_s, what):
        """Wait for a condition; return whether it came true in time."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return True
            await asyncio.sleep(0.05)
        self.record(f"not within {limit_s} s: {what}")
        return False

    def leader(self):
        """Return the node that last wrote to the store under a condition."""
        name = self.store.last_conditional_writer
        return next(n for n in self.nodes if n.name == name)

    async def submit(self, submission_id, body, limit_s=20.0):
        """Submit with retries at any node, as a client does; True if accepted."""
        for number, step in enumerate(body["steps"]):
            self.steps[submission_id, str(number)] = step
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            node = random.choice(self.nodes)
            status, _ = await node.call("POST", f"/bookings/{submission_id}", body)
            self.record(f"POST {submission_id} at {node.name}: {status}")
            if status is not None and 200 <= status < 300:
                return True
            if status in (400, 404):
                return False
            await asyncio.sleep(0.5)
        return False

    async def state(self, submission_id, node=None):
        node = node or random.choice(self.nodes)
        status, value = await node.call("GET", f"/bookings/{submission_id}")
        return value["state"] if status == 200 else status

    async def stop(self):
        for node in self.nodes:
            node.kill()
        for worker in self.workers:
            await worker.stop()
        await self.store.stop()
        self._temporary.cleanup()


class Record:
    """Writes record.txt in the folder of the case."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        print(line, file=self._file, flush=True)

    def close(self):
        self._file.close()


def new_id():
    return f"{random.getrandbits(64):016x}"


def run_case(folder, scenario):
    """Run ``scenario(record, trouble)``; exit 0 (held), 1 (broken) or 2."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {trouble}")

    async def run():
        async with asyncio.timeout(112):
            return await scenario(record, trouble)

    try:
        code = asyncio.run(run())
    except Exception as error:
        record(f"could not run: {error!r}")
        code = 2
    record({0: "rule held", 1: "RULE BROKEN", 2: "could not run"}[code])
    record.close()
    raise SystemExit(code)
