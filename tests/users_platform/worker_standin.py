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

_START_DELAY_S = 1.0
# Longest lease that the worker accepts.
MAX_LEASE_S = 10.0
# Age of the first lifetime, whose clock is therefore ahead of a later one.
_FIRST_AGE_S = 1000.0
# Longer than every timeout of the callers.
_WITHHELD_ANSWER_S = 30.0


class WorkerStandin:
    """Runs tasks of a fixed duration and rejects lower fencing tokens.

    :ivar started: (task, run) of each start that was carried out
    :ivar done: (task, run) of each run that ended as done
    :ivar max_concurrent_runs: highest number of runs at the same time
    :ivar address: IP address and port for the worker's row
    :ivar withhold_start_answers: whether starts are carried out without an
        answer
    :ivar delay_starts: whether starts are carried out one second later and
        get no answer
    :ivar fail_all_tasks: whether every task fails
    :ivar unhealthy: whether starts get status 503
    :ivar unreachable: whether no call is carried out or answered
    :ivar checkpoint: checkpoint of each run
    :ivar lease_ends_at: end of the last lease, seconds of the clock that
        all processes share
    :ivar placement: service that issues the tickets that starts need, None
        when they need none
    """

    def __init__(self, name: str, run_s: float, born: int = 7) -> None:
        """Create a worker without runs.

        :param name: id of the worker
        :param run_s: duration of each task in seconds
        :param born: start of the worker's lifetime, Unix milliseconds
        """
        self.name = name
        self.born = born
        self.started: list[tuple[str, int]] = []
        self.done: list[tuple[str, int]] = []
        self.max_concurrent_runs = 0
        self.address = ""
        self.withhold_start_answers = False
        self.delay_starts = False
        self.fail_all_tasks = False
        self.unhealthy = False
        self.unreachable = False
        self.checkpoint = ""
        self.lease_ends_at = 0.0
        self._epoch = time.monotonic() - _FIRST_AGE_S
        self.placement: PlacementStandin | None = None
        self._run_s = run_s
        self._token = 0
        self._running: dict[str, tuple[int, float]] = {}
        self._unacknowledged_ends: list[list[Any]] = []
        self._highest_runs: dict[str, int] = {}
        self._last_end_number = 0

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/api/run-start", self._start, methods=["POST"]),
                Route("/api/run-stop", self._stop, methods=["POST"]),
                Route("/api/hold", self._hold, methods=["POST"]),
                Route("/api/pace", self._pace, methods=["POST"]),
            ]
        )

    def _json_response(self, status: int = 200, **body: Any) -> Response:
        clock = int((time.monotonic() - self._epoch) * 1000)
        return JSONResponse(
            {"clock_ms": clock, "born": self.born, **body}, status
        )

    async def _accept_call(
        self, request: Request
    ) -> dict[str, Any] | Response:
        """Check the instance and the token, store the token, end due runs."""
        if self.unreachable:
            await asyncio.sleep(_WITHHELD_ANSWER_S)
            return Response(status_code=503)
        wanted = request.headers.get("Carawaystep-Target-Instance")
        if wanted not in (None, self.name):
            return Response(status_code=421)
        body: dict[str, Any] = await request.json()
        token = body.get("fencing_token", 0)
        if token < self._token:
            return self._json_response(409, reason="fence")
        self._token = token
        deadline = self._epoch + body.get("deadline_ms", 0) / 1000
        self.lease_ends_at = max(
            self.lease_ends_at, min(deadline, time.monotonic() + MAX_LEASE_S)
        )
        self._end_due_runs()
        return body

    def restart(self) -> None:
        """Start a new lifetime with the same id and without any state."""
        self.born += 1
        self.lease_ends_at = 0.0
        self._epoch = time.monotonic()
        self._token = 0
        self._last_end_number = 0
        self._running.clear()
        self._unacknowledged_ends.clear()
        self._highest_runs.clear()

    async def _start(self, request: Request) -> Response:
        if self.unhealthy:
            return Response(status_code=503)
        if self.delay_starts:
            await request.body()
            await asyncio.sleep(_START_DELAY_S)
        body = await self._accept_call(request)
        if isinstance(body, Response):
            return body
        task, run = body["task"], body["run"]
        if run <= self._highest_runs.get(task, 0):
            return self._json_response(409, reason="old")
        if self._epoch + body["deadline_ms"] / 1000 < time.monotonic():
            return self._json_response(409, reason="late")
        step = task.rpartition(".")[0]
        if self.placement is not None and not self.placement.is_ticket_valid(
            body.get("ticket", ""), self.name, step
        ):
            return self._json_response(409, reason="ticket")
        self._highest_runs[task] = run
        self._running[task] = (run, time.monotonic() + self._run_s)
        self.started.append((task, run))
        self.max_concurrent_runs = max(
            self.max_concurrent_runs, len(self._running)
        )
        if self.withhold_start_answers or self.delay_starts:
            await asyncio.sleep(_WITHHELD_ANSWER_S)
        return self._json_response()

    async def _stop(self, request: Request) -> Response:
        body = await self._accept_call(request)
        if isinstance(body, Response):
            return body
        task, run = body["task"], body["run"]
        self._highest_runs[task] = max(run, self._highest_runs.get(task, 0))
        if self._running.get(task, (0, 0.0))[0] == run:
            self._end_run(task, "stopped")
        return self._json_response()

    async def _pace(self, request: Request) -> Response:
        body = await self._accept_call(request)
        return body if isinstance(body, Response) else self._json_response()

    async def _hold(self, request: Request) -> Response:
        body = await self._accept_call(request)
        if isinstance(body, Response):
            return body
        acknowledged = body.get("ack_cursor", 0)
        self._unacknowledged_ends = [
            row for row in self._unacknowledged_ends if row[0] > acknowledged
        ]
        deadline = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self._unacknowledged_ends and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
            self._end_due_runs()
        running = [
            [task, run, self.checkpoint, 50, 0]
            for task, (run, _) in self._running.items()
        ]
        return self._json_response(
            running=running, finished=self._unacknowledged_ends
        )

    def _end_due_runs(self) -> None:
        now = time.monotonic()
        for task, (_, ends_at) in list(self._running.items()):
            if now >= ends_at:
                self._end_run(
                    task, "failed" if self.fail_all_tasks else "done"
                )

    def _end_run(self, task: str, reason: str) -> None:
        run, _ = self._running.pop(task)
        if reason == "done":
            self.done.append((task, run))
        self._last_end_number += 1
        self._unacknowledged_ends.append(
            [self._last_end_number, task, run, reason, self.checkpoint]
        )
