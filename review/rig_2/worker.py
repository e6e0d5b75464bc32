"""Stand-in of a worker, after PROTOCOL.md ("Running tasks")."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
import time
from typing import Any
from typing import TYPE_CHECKING

from review.rig_2.http import HttpServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from review.rig_2.http import Request
    from review.rig_2.store import Store

_HEARTBEAT_S = 1.5
_MAX_ENDS = 500


@dataclass
class Run:
    """One run of a task on a worker; times are the worker's clock."""

    task: str
    number: int
    spec: str
    began: float
    ends: float
    end: str
    cpu: int
    mem_mb: int
    figure: int
    stopped: bool = False


@dataclass
class Plan:
    """What the script wants of one run of a task.

    :param seconds: how long it runs
    :param end: how it ends, `done` or `failed`
    :param cpu: thousandths of a core, 0 for a task that fills
    :param mem_mb: megabytes
    :param figure: fifth entry of the run's row: the tail of a task that
        serves, the `cpu` in use of any other
    """

    seconds: float
    end: str = "done"
    cpu: int = 1000
    mem_mb: int = 256
    figure: int = 0


@dataclass
class Worker:
    """One worker that guards its capacity and answers as the pages say.

    :param plan: returns what to do with a start: worker, task, run
    :param record: receives one line for each event
    """

    name: str
    service: str
    labels: list[str]
    zone: str
    store: Store
    plan: Callable[[Worker, str, int], Plan]
    record: Callable[[str], None]
    cpu: int = 4000
    mem_mb: int = 16000
    max_hold_s: float = 6.0
    stop_s: float = 0.1
    running: dict[str, Run] = field(default_factory=dict)
    starts: list[tuple[float, str, int]] = field(default_factory=list)
    ends: list[tuple[float, str, int, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the worker's state; it does not serve yet."""
        self.server = HttpServer(self.handle)
        self.born = int(time.time() * 1000)
        self._epoch = time.monotonic()
        self._token = 0
        self._lease_ends = 0.0
        self._finished: list[list[Any]] = []
        self._highest: dict[str, int] = {}
        self._last_end = 0
        self._changed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def clock(self) -> float:
        """Return the worker's steady clock, seconds."""
        return time.monotonic() - self._epoch

    async def start(self) -> None:
        """Serve and register."""
        await self.server.start()
        self._tasks = [
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._register()),
        ]

    async def stop(self) -> None:
        """End the worker at once, without a word."""
        for task in self._tasks:
            task.cancel()
        await self.server.stop()

    def free(self) -> tuple[int, int]:
        """Return the free thousandths of cores and megabytes."""
        runs = self.running.values()
        return (
            self.cpu - sum(run.cpu for run in runs),
            self.mem_mb - sum(run.mem_mb for run in runs),
        )

    async def _register(self) -> None:
        seq = 0
        while True:
            seq += 1
            row = {
                "service": self.service,
                "address": self.server.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "seq": seq,
                "born": self.born,
                "capacity": {
                    "cpu": self.cpu,
                    "mem_mb": self.mem_mb,
                    "gpu": 0,
                },
                "labels": self.labels,
            }
            if seq == 1:
                await self.store.put("servers", self.name, row)
            await asyncio.sleep(_HEARTBEAT_S)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            now = self.clock
            for run in list(self.running.values()):
                if now >= self._lease_ends:
                    self._end(run, "lapsed")
                elif now >= run.ends:
                    self._end(run, "stopped" if run.stopped else run.end)

    def _end(self, run: Run, how: str) -> None:
        del self.running[run.task]
        self._last_end += 1
        self._finished.append([self._last_end, run.task, run.number, how, ""])
        self.ends.append((time.monotonic(), run.task, run.number, how))
        self.record(f"{self.name} end {run.task} run {run.number} {how}")
        self._changed.set()

    def _answer(self, status: int = 200, **body: Any) -> tuple[int, Any]:
        clock_ms = int(self.clock * 1000)
        return status, {"clock_ms": clock_ms, "born": self.born, **body}

    async def handle(self, request: Request) -> tuple[int, Any]:
        """Answer one call."""
        wanted = request.headers.get("carawaystep-target-instance")
        if wanted not in (None, self.name):
            return 421, None
        body = request.json()
        token = body.get("fencing_token", 0)
        if token < self._token:
            return self._answer(409, reason="fence")
        self._token = token
        deadline_s = min(
            body.get("deadline_ms", 0) / 1000, self.clock + self.max_hold_s
        )
        if request.path == "/api/run-start":
            return self._start(body, deadline_s)
        if request.path == "/api/run-stop":
            return self._stop(body)
        if request.path == "/api/hold":
            self._extend(deadline_s)
            return await self._hold(body)
        if request.path == "/api/pace":
            return self._answer()
        return 404, None

    def _extend(self, deadline_s: float) -> None:
        self._lease_ends = max(self._lease_ends, deadline_s)

    def _start(self, body: Any, deadline_s: float) -> tuple[int, Any]:
        task, number = body["task"], body["run"]
        known = self.running.get(task)
        if known is not None and known.number == number:
            return self._answer()
        if body["deadline_ms"] / 1000 < self.clock:
            return self._answer(409, reason="late")
        self._extend(deadline_s)
        if number <= self._highest.get(task, 0) or known is not None:
            return self._answer(409, reason="old")
        plan = self.plan(self, task, number)
        free_cpu, free_mem = self.free()
        if plan.cpu > free_cpu or plan.mem_mb > free_mem:
            return self._answer(409, reason="room")
        now = self.clock
        self._highest[task] = number
        self.running[task] = Run(
            task,
            number,
            body["spec"],
            now,
            now + plan.seconds,
            plan.end,
            plan.cpu,
            plan.mem_mb,
            plan.figure,
        )
        self.starts.append((time.monotonic(), task, number))
        self.record(f"{self.name} start {task} run {number}")
        return self._answer()

    def _stop(self, body: Any) -> tuple[int, Any]:
        task, number = body["task"], body["run"]
        self._highest[task] = max(number, self._highest.get(task, 0))
        run = self.running.get(task)
        if run is not None and run.number == number and not run.stopped:
            run.stopped = True
            run.ends = min(run.ends, self.clock + self.stop_s)
            self.record(f"{self.name} stop {task} run {number}")
        return self._answer()

    async def _hold(self, body: Any) -> tuple[int, Any]:
        cursor = body.get("ack_cursor", 0)
        self._finished = [row for row in self._finished if row[0] > cursor]
        until = self.clock + min(body.get("wait_ms", 0), 2000) / 1000
        while not self._finished and self.clock < until:
            self._changed.clear()
            try:
                async with asyncio.timeout(until - self.clock):
                    await self._changed.wait()
            except TimeoutError:
                break
        running = [
            [run.task, run.number, "", 100, run.figure]
            for run in self.running.values()
        ]
        return self._answer(
            running=running, finished=self._finished[:_MAX_ENDS]
        )
