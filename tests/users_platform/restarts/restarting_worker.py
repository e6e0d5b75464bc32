"""Stand-in of a worker that starts again and can be cut off."""

from __future__ import annotations

import asyncio
from enum import Enum
import time
from typing import TYPE_CHECKING

from starlette.requests import Request

from carawaystep.adapters.http.uvicorn_server import UvicornServer
from tests.users_platform.deployment import encode_value
from tests.users_platform.restarts.run_ledger import Run
from tests.users_platform.restarts.run_ledger import RunLedger
from tests.users_platform.worker_standin import WorkerStandin
from tools.port_allocator import LOOPBACK_HOST

if TYPE_CHECKING:
    from starlette.responses import Response
    from starlette.types import Message
    from starlette.types import Receive
    from starlette.types import Scope
    from starlette.types import Send

    from tests.users_platform.store_standin import StoreStandin

_HEARTBEAT_S = 1.5
# The platform removes the row of a worker after three silent intervals.
_ROW_EXPIRES_AFTER_S = 3 * _HEARTBEAT_S
_TICK_S = 0.01


class Cut(Enum):
    """What does not pass between a worker and the others."""

    NONE = "none"
    # No answer and no row leaves the worker; calls are carried out.
    ANSWERS = "answers"
    # No call reaches the worker either.
    ALL = "all"


class RestartingWorker(WorkerStandin):
    """Runs tasks while its lease lasts, keeps its row and can crash.

    :ivar cut: what does not pass now
    :ivar captures_starts: whether starts are kept for the next lifetime
    :ivar row_at: Unix time of the first row of the lifetime, 0 before
    :ivar report_at: Unix time of its first answered poll, 0 before
    """

    def __init__(
        self, name: str, port: int, run_s: float, ledger: RunLedger
    ) -> None:
        """Create a worker that is not up; all lifetimes use one port."""
        super().__init__(name, run_s)
        self.address = f"{LOOPBACK_HOST}:{port}"
        self.cut = Cut.NONE
        self.captures_starts = False
        self.row_at = self.report_at = 0.0
        self._app = self.app()
        self._server = UvicornServer(self._serve, LOOPBACK_HOST, port)
        self._ledger = ledger
        self._up = False
        self._captured: list[tuple[Scope, bytes]] = []
        self._row_due_at = self._row_expires_at = 0.0

    async def begin_lifetime(self, first_row_s: float) -> None:
        """Start without state; the row follows after ``first_row_s``."""
        self.restart()
        self.born = int(time.time() * 1000)
        self.row_at = self.report_at = 0.0
        self._row_due_at = time.monotonic() + first_row_s
        self._server = UvicornServer(
            self._serve, LOOPBACK_HOST, self._server.port
        )
        await self._server.start()
        self._up = True

    async def crash(self) -> None:
        """Close all sockets at once; nothing that runs survives."""
        self._up = False
        await self._server.stop(0.0)
        for task in list(self._running):
            self._ledger.end(self.name, task, "died", time.time())
        self._running.clear()

    async def carry_out_captured(self) -> int:
        """Carry out the kept starts without answers; return their number."""
        captured, self._captured = self._captured, []
        for scope, body in captured:
            scope["late"] = True

            async def receive(body: bytes = body) -> Message:
                return {"type": "http.request", "body": body}

            async def send(message: Message) -> None:
                pass

            await self._app(scope, receive, send)
        return len(captured)

    async def run(self, store: StoreStandin) -> None:
        """End due runs and keep the row until the task is cancelled."""
        while True:
            if self._up:
                self._end_due_runs()
            await self._keep_row(store, time.monotonic())
            await asyncio.sleep(_TICK_S)

    async def _keep_row(self, store: StoreStandin, now: float) -> None:
        if self._up and self.cut is Cut.NONE and now >= self._row_due_at:
            self._row_due_at = now + _HEARTBEAT_S
            self._row_expires_at = now + _ROW_EXPIRES_AFTER_S
            self.row_at = self.row_at or time.time()
            row = {
                "service": "desk",
                "address": self.address,
                "zone": "zone",
                "state": "ready",
                "capacity": {"cpu": 4000, "mem_mb": 4000, "gpu": 0},
                "labels": ["a", "r1"],
                "born": self.born,
            }
            await store.put("servers", self.name, encode_value(row))
        elif 0.0 < self._row_expires_at < now:
            self._row_expires_at = 0.0
            await store.delete("servers", self.name)

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        async def send_unless_cut(message: Message) -> None:
            if self.cut is not Cut.NONE:
                await asyncio.Event().wait()
            if scope["path"] == "/api/hold" and not self.report_at:
                self.report_at = time.time()
            await send(message)

        if self.cut is Cut.ALL:
            await asyncio.Event().wait()
        if self.captures_starts and scope["path"] == "/api/run-start":
            self._captured.append(
                (scope, await Request(scope, receive).body())
            )
            await asyncio.Event().wait()
        await self._app(scope, receive, send_unless_cut)

    async def _start(self, request: Request) -> Response:
        response = await super()._start(request)
        if response.status_code == 200:
            body = await request.json()
            now = time.monotonic()
            run = Run(
                body["task"],
                body["run"],
                self.name,
                self.born,
                time.time(),
                now - self._epoch,
                body["deadline_ms"] / 1000,
                self.lease_ends_at - now,
                "late" in request.scope,
            )
            self._ledger.start(run)
        return response

    def _end_due_runs(self) -> None:
        super()._end_due_runs()
        if time.monotonic() >= self.lease_ends_at:
            for task in list(self._running):
                self._end_run(task, "lapsed")

    def _end_run(self, task: str, reason: str) -> None:
        super()._end_run(task, reason)
        self._ledger.end(self.name, task, reason, time.time())
