"""One play: three nodes, nine workers, three of which start again."""

from __future__ import annotations

import asyncio
from base64 import b64decode
import copy
from dataclasses import dataclass
import json
import os
from random import Random
import signal
import time
from typing import TYPE_CHECKING

from tests.adapters.http.bound_server import bind_server
from tests.users_platform.deployment import encode_value
from tests.users_platform.deployment import MANIFEST
from tests.users_platform.deployment import STORE_PARTITION
from tests.users_platform.process_deployment import SystemProcess
from tests.users_platform.restarts.restarting_worker import Cut
from tests.users_platform.restarts.restarting_worker import RestartingWorker
from tests.users_platform.restarts.run_ledger import RunLedger
from tests.users_platform.store_standin import StoreStandin
from tools.port_allocator import LOOPBACK_HOST
from tools.port_allocator import PortAllocator

if TYPE_CHECKING:
    from pathlib import Path

_WORKERS = [f"i-{number}" for number in range(9)]
_RESTART_COUNT = 3
_RUN_S = 13.0
# The clocks of the first lifetimes are then ahead of those of the second.
_LOAD_BEFORE_S = 3.0
_LOAD_AFTER_S = 0.5
_CALLERS_PER_NODE = 3
_STEP = {"count": 1, "cpu": 20, "mem_mb": 10, "estimated_ms": _RUN_S * 1000}
# Starts that arrive within this time before a crash are carried over. Quiet
# crashes leave it for starts to end.
_BEFORE_CRASH_S = 0.3
_LIMITS = {"memory_mb": 300, "max_fds": 4100}
_BOUNDS = {"max_hold_ms": 10_000}


@dataclass(frozen=True, slots=True)
class Setting:
    """What happens to workers that have started again.

    :param cut: what does not pass some time after the return
    :param cut_duration_s: time until everything passes again
    :param late_start_s: time after the return at which starts for the former
        lifetime are carried out, None when none is late
    :param call_interval_s: pause of each caller between submissions
    :param quiet_crashes: whether callers pause around a crash until the
        return. Otherwise, starts that fail keep the leader from sending more
        to the worker for up to a second.
    :param leader_killed_s: time after the last return at which the leader is
        killed, None when it stays
    """

    cut: Cut
    cut_duration_s: float = 11.0
    late_start_s: float | None = None
    call_interval_s: float = 0.1
    quiet_crashes: bool = False
    leader_killed_s: float | None = None


@dataclass(slots=True)
class Restart:
    """A crash and its delays in seconds; what happened, in Unix seconds.

    :param crash_s: from the beginning of the disruption to the crash
    :param away_s: from the crash to the return
    :param cut_s: from the return to the cut
    :param first_row_s: from the return to the first row, unless cut before
    :param worker: id of the worker, chosen shortly before the crash
    :param starts_before_cut: starts by the new lifetime before the cut
    """

    crash_s: float
    away_s: float
    cut_s: float
    first_row_s: float
    worker: str = ""
    crashed_at: float = 0.0
    returned_at: float = 0.0
    row_at: float = 0.0
    report_at: float = 0.0
    late_starts: int = 0
    starts_before_cut: int = 0


def draw_restarts(seed: int) -> list[Restart]:
    """Return restarts with random delays."""
    random = Random(seed)
    return [
        Restart(
            crash_s=random.uniform(0.5, 4.0),
            away_s=random.uniform(0.2, 0.8),
            cut_s=random.uniform(0.05, 1.0),
            first_row_s=random.uniform(0.0, 1.5),
        )
        for _ in range(_RESTART_COUNT)
    ]


class Play:
    """A deployment under load, and restarts of some of its workers."""

    def __init__(
        self, directory: Path, setting: Setting, restarts: list[Restart]
    ) -> None:
        """Create a play; settings files and logs are in the directory."""
        self.ledger = RunLedger()
        self._directory = directory
        self._setting = setting
        self._ports = PortAllocator()
        self._store = StoreStandin()
        self._store_server = bind_server(self._store.app("all"))
        self._workers = {name: self._worker(name) for name in _WORKERS}
        self._processes: list[SystemProcess] = []
        self.restarts = restarts
        self._quiet_restarts = 0
        self._quiet_over = asyncio.Event()
        self._quiet_over.set()

    async def run(self) -> None:
        """Start everything, disrupt it and stop it."""
        tasks: list[asyncio.Task[None]] = []
        try:
            await self._start(tasks)
            await asyncio.sleep(_LOAD_BEFORE_S)
            if self._setting.leader_killed_s is not None:
                killed_s = self._setting.leader_killed_s
                tasks.append(asyncio.create_task(self._kill_leader(killed_s)))
            await asyncio.gather(*map(self._disrupt, self.restarts))
            await asyncio.sleep(_LOAD_AFTER_S)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for process in self._processes:
                await process.stop()
            for worker in self._workers.values():
                await worker.crash()
            await self._store_server.stop(0.0)
            self._ports.close()

    def _worker(self, name: str) -> RestartingWorker:
        port = self._ports.reserve()
        self._ports.hand_over([port])
        return RestartingWorker(name, port, _RUN_S, self.ledger)

    async def _start(self, tasks: list[asyncio.Task[None]]) -> None:
        await self._store_server.start()
        manifest = copy.deepcopy(MANIFEST)
        manifest["services"] = [{"name": "desk", "enforces_capacity": True}]
        await self._store.put("op", "config", encode_value(manifest))
        for worker in self._workers.values():
            await worker.begin_lifetime(first_row_s=0.0)
            tasks.append(asyncio.create_task(worker.run(self._store)))
        address = f"{LOOPBACK_HOST}:{self._store_server.port}"
        for name in ("edge-0", "edge-1", "edge-2"):
            process = SystemProcess(
                name, self._directory, self._ports, address, _LIMITS, _BOUNDS
            )
            self._processes.append(process)
        for process in self._processes:
            await process.wait_until_ready()
        for number in range(_CALLERS_PER_NODE * len(self._processes)):
            tasks.append(asyncio.create_task(self._submit(number)))

    async def _submit(self, caller: int) -> None:
        process = self._processes[caller % len(self._processes)]
        body = {"spec": "text", "steps": [_STEP]}
        for number in range(10_000):
            path = f"/bookings/{caller:08x}{number:08x}"
            await self._quiet_over.wait()
            await process.call("POST", path, body)
            await asyncio.sleep(self._setting.call_interval_s)

    async def _disrupt(self, restart: Restart) -> None:
        late_start_s = self._setting.late_start_s
        await asyncio.sleep(restart.crash_s - _BEFORE_CRASH_S)
        restart.worker = self._last_started_worker()
        worker = self._workers[restart.worker]
        worker.captures_starts = late_start_s is not None
        if self._setting.quiet_crashes:
            self._quiet_restarts += 1
            self._quiet_over.clear()
        await asyncio.sleep(_BEFORE_CRASH_S)
        worker.captures_starts = False
        restart.crashed_at = time.time()
        await worker.crash()
        await asyncio.sleep(restart.away_s)
        await worker.begin_lifetime(restart.first_row_s)
        restart.returned_at = time.time()
        self._quiet_restarts -= 1
        if self._quiet_restarts <= 0:
            self._quiet_over.set()
        cut = asyncio.create_task(self._cut_off(worker, restart))
        if late_start_s is not None:
            await asyncio.sleep(late_start_s)
            restart.late_starts = await worker.carry_out_captured()
        await cut

    async def _kill_leader(self, after_return_s: float) -> None:
        returned_s = max(r.crash_s + r.away_s for r in self.restarts)
        await asyncio.sleep(returned_s + after_return_s)
        value, _ = self._store.rows["control", STORE_PARTITION, "leader"]
        name = json.loads(b64decode(value or ""))["name"]
        leader = next(p for p in self._processes if p.name == name)
        os.kill(leader.pid, signal.SIGKILL)

    def _last_started_worker(self) -> str:
        """Return the worker that gets starts now, unless it restarts.

        The leader fills one worker after the other.
        """
        chosen = {restart.worker for restart in self.restarts}
        last = [run.worker for run in reversed(self.ledger.runs)]
        return next(name for name in last + _WORKERS if name not in chosen)

    async def _cut_off(
        self, worker: RestartingWorker, restart: Restart
    ) -> None:
        await asyncio.sleep(restart.cut_s)
        worker.cut = self._setting.cut
        restart.row_at, restart.report_at = worker.row_at, worker.report_at
        restart.starts_before_cut = sum(
            run.born == worker.born and run.worker == worker.name
            for run in self.ledger.runs
        )
        await asyncio.sleep(self._setting.cut_duration_s)
        worker.cut = Cut.NONE
