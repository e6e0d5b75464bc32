"""Stand-in of a worker of the users' platform."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from typing import TYPE_CHECKING

from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

if TYPE_CHECKING:
    from starlette.requests import Request

    from tests.users_platform.placement_standin import PlacementStandin

_LATE_S = 1.0
# Longer than any limit of the callers.
_SILENCE_S = 30.0


class WorkerStandin:
    """Runs tasks that end after a while; refuses lower tokens.

    :ivar started: (task, run) of everything it has begun
    :ivar done: (task, run) of everything that ended as done
    :ivar address: IP address and port that its row names
    :ivar hang_starts: whether starts are carried out and not answered
    :ivar late_starts: whether starts are carried out a second later and not
        answered
    :ivar fail_all: whether every task fails
    :ivar unhealthy: whether starts get 503
    :ivar placement: service whose tickets starts need, None for none
    """

    def __init__(self, name: str, run_s: float, born: int = 7) -> None:
        """Create a worker without runs.

        :param name: instance id
        :param run_s: how long each task takes
        :param born: Unix milliseconds of its start
        """
        self.name = name
        self.born = born
        self.started: list[tuple[str, int]] = []
        self.done: list[tuple[str, int]] = []
        self.at_once_most = 0
        self.address = ""
        self.hang_starts = False
        self.late_starts = False
        self.fail_all = False
        self.unhealthy = False
        self.placement: PlacementStandin | None = None
        self._run_s = run_s
        self._token = 0
        self._running: dict[str, tuple[int, float]] = {}
        self._ended: list[list[Any]] = []
        self._highest: dict[str, int] = {}
        self._number = 0

    def app(self) -> Starlette:
        """Return the application."""
        return Starlette(
            routes=[
                Route("/api/run-start", self._start, methods=["POST"]),
                Route("/api/run-stop", self._stop, methods=["POST"]),
                Route("/api/hold", self._hold, methods=["POST"]),
                Route("/api/pace", self._pace, methods=["POST"]),
            ]
        )

    def _answer(self, status: int = 200, **body: Any) -> Response:
        clock = int(time.monotonic() * 1000)
        return JSONResponse(
            {"clock_ms": clock, "born": self.born, **body}, status
        )

    async def _body(self, request: Request) -> dict[str, Any] | Response:
        wanted = request.headers.get("Carawaystep-Target-Instance")
        if wanted not in (None, self.name):
            return Response(status_code=421)
        body: dict[str, Any] = await request.json()
        token = body.get("fencing_token", 0)
        if token < self._token:
            return self._answer(409, reason="fence")
        self._token = token
        self._finish_due()
        return body

    def restart(self) -> None:
        """Begin a new lifetime under the same id, which knows nothing."""
        self.born += 1
        self._token = 0
        self._number = 0
        self._running.clear()
        self._ended.clear()
        self._highest.clear()

    async def _start(self, request: Request) -> Response:
        if self.unhealthy:
            return Response(status_code=503)
        if self.late_starts:
            await request.body()
            await asyncio.sleep(_LATE_S)
        body = await self._body(request)
        if isinstance(body, Response):
            return body
        task, run = body["task"], body["run"]
        if run <= self._highest.get(task, 0):
            return self._answer(409, reason="old")
        if body["deadline_ms"] < time.monotonic() * 1000:
            return self._answer(409, reason="late")
        step = task.rpartition(".")[0]
        if self.placement is not None and not self.placement.accepts(
            body.get("ticket", ""), self.name, step
        ):
            return self._answer(409, reason="ticket")
        self._highest[task] = run
        self._running[task] = (run, time.monotonic() + self._run_s)
        self.started.append((task, run))
        self.at_once_most = max(self.at_once_most, len(self._running))
        if self.hang_starts or self.late_starts:
            await asyncio.sleep(_SILENCE_S)
        return self._answer()

    async def _stop(self, request: Request) -> Response:
        body = await self._body(request)
        if isinstance(body, Response):
            return body
        task, run = body["task"], body["run"]
        self._highest[task] = max(run, self._highest.get(task, 0))
        if self._running.get(task, (0, 0.0))[0] == run:
            self._end(task, "stopped")
        return self._answer()

    async def _pace(self, request: Request) -> Response:
        body = await self._body(request)
        return body if isinstance(body, Response) else self._answer()

    async def _hold(self, request: Request) -> Response:
        body = await self._body(request)
        if isinstance(body, Response):
            return body
        seen = body.get("ack_cursor", 0)
        self._ended = [row for row in self._ended if row[0] > seen]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self._ended and time.monotonic() < until:
            await asyncio.sleep(0.02)
            self._finish_due()
        running = [
            [task, run, "", 50, 0] for task, (run, _) in self._running.items()
        ]
        return self._answer(running=running, finished=self._ended)

    def _finish_due(self) -> None:
        now = time.monotonic()
        for task, (_, ends_at) in list(self._running.items()):
            if now >= ends_at:
                self._end(task, "failed" if self.fail_all else "done")

    def _end(self, task: str, how: str) -> None:
        run, _ = self._running.pop(task)
        if how == "done":
            self.done.append((task, run))
        self._number += 1
        self._ended.append([self._number, task, run, how, ""])
