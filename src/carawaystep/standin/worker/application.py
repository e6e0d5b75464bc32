"""HTTP front end of a stand-in worker."""

from __future__ import annotations

import asyncio
from dataclasses import asdict
from hashlib import sha256
from typing import Any
from typing import TYPE_CHECKING

from result import Err
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from carawaystep.standin.http.fault_gate import FaultGate
from carawaystep.standin.http.fault_switch import FaultSwitch
from carawaystep.standin.http.json_errors import EXCEPTION_HANDLERS
from carawaystep.standin.http.json_errors import json_error
from carawaystep.standin.http.signal import Signal
from carawaystep.standin.worker.bodies import FenceBody
from carawaystep.standin.worker.bodies import LeasesBody
from carawaystep.standin.worker.bodies import ReportQuery
from carawaystep.standin.worker.bodies import RequestHeaders
from carawaystep.standin.worker.bodies import TaskBody
from carawaystep.standin.worker.bodies import TaskCallBody
from carawaystep.standin.worker.bodies import TaskCallPath
from carawaystep.standin.worker.refusal import Leaving
from carawaystep.standin.worker.refusal import StaleEpoch
from carawaystep.standin.worker.refusal import UnknownTask

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.responses import Response
    from starlette.types import ASGIApp

    from carawaystep.standin.worker.refusal import Refusal
    from carawaystep.standin.worker.report import Report
    from carawaystep.standin.worker.standin_worker import StandinWorker
    from carawaystep.worker.fence_answer import FenceAnswer
    from carawaystep.worker.reservation import Reservation

_CONTROL_PATHS = ("/faults", "/ledger", "/v1/leave")
_REQUEST_ID = "Carawaystep-Request-Id"
_NOT_RUN = {"Carawaystep-Not-Run": "1"}


class WorkerApplication:
    """Turns HTTP calls into calls of one worker, and ends its tasks."""

    def __init__(self, worker: StandinWorker) -> None:
        """Create the front end.

        :param worker: the stand-in worker
        """
        self._worker = worker
        self._changed = Signal()
        self._switch = FaultSwitch(worker.faults, self._changed)

    def asgi(self) -> ASGIApp:
        """Return the ASGI application."""
        app = Starlette(
            routes=[
                Route("/v1/fence", self._fence, methods=["POST"]),
                Route("/v1/requests", self._request, methods=["POST"]),
                Route("/v1/tasks", self._start_task, methods=["POST"]),
                Route("/v1/leases", self._renew, methods=["POST"]),
                Route(
                    "/v1/tasks/{id}/{call}", self._call_task, methods=["POST"]
                ),
                Route("/v1/report", self._report, methods=["GET"]),
                Route("/v1/leave", self._leave, methods=["POST"]),
                Route("/ledger", self._ledger, methods=["GET"]),
                Route("/faults", self._switch.replace, methods=["POST"]),
            ],
            exception_handlers=EXCEPTION_HANDLERS,
        )
        return FaultGate(app, self._switch, _CONTROL_PATHS, _NOT_RUN)

    async def end_tasks(self) -> None:
        """End tasks when they are due, until cancelled."""
        while True:
            due = self._worker.next_due()
            await self._changed.wait_until(due)
            self._worker.advance(_now())
            # Another call may have ended the task just before this timer,
            # and the pollers must learn of that too.
            if due <= _now():
                self._changed.notify()

    async def _fence(self, request: Request) -> Response:
        body = FenceBody.model_validate_json(await request.body())
        outcome = self._worker.fence(body.epoch, _now())
        if isinstance(outcome, Err):
            return _refused(outcome.err_value)
        return JSONResponse(_fence_json(outcome.ok_value))

    async def _request(self, request: Request) -> Response:
        headers = RequestHeaders.from_headers(request.headers)
        echo = {_REQUEST_ID: headers.request_id}
        work = headers.request(await request.body())
        outcome = self._worker.start_request(work, headers.epoch, _now())
        if isinstance(outcome, Err):
            return _refused(outcome.err_value, echo)
        run = outcome.ok_value
        await asyncio.sleep(run.due - _now())
        self._worker.end_request(run, _now())
        if run.fails:
            return json_error(500, "failed", "the execution failed", echo)
        return JSONResponse(
            {
                "request_id": work.request_id,
                "service": work.service,
                "worker": self._worker.name,
                "length": len(work.body),
                "sha256": sha256(work.body).hexdigest(),
            },
            headers=echo,
        )

    async def _start_task(self, request: Request) -> Response:
        body = TaskBody.model_validate_json(await request.body())
        outcome = self._worker.start_task(body.task(), body.epoch, _now())
        self._changed.notify()
        if isinstance(outcome, Err):
            return _refused(outcome.err_value)
        return JSONResponse({}, status_code=202)

    async def _renew(self, request: Request) -> Response:
        body = LeasesBody.model_validate_json(await request.body())
        attempts = [(task.id, task.attempt) for task in body.tasks]
        outcome = self._worker.renew_leases(
            attempts, body.until_s, body.epoch, _now()
        )
        self._changed.notify()
        if isinstance(outcome, Err):
            return _refused(outcome.err_value)
        return JSONResponse({"unknown": list(outcome.ok_value)})

    async def _call_task(self, request: Request) -> Response:
        path = TaskCallPath.model_validate(request.path_params)
        body = TaskCallBody.model_validate_json(await request.body())
        call = {
            "checkpoint": self._worker.checkpoint_task,
            "throttle": self._worker.throttle_task,
            "stop": self._worker.stop_task,
        }[path.call]
        outcome = call(path.id, body.attempt, body.epoch, _now())
        self._changed.notify()
        if isinstance(outcome, Err):
            return _refused(outcome.err_value)
        return JSONResponse({"how": outcome.ok_value})

    async def _report(self, request: Request) -> Response:
        query = ReportQuery.model_validate(dict(request.query_params))
        if query.epoch is not None:
            refusal = self._worker.check_epoch(query.epoch)
            if refusal is not None:
                return _refused(refusal)
        self._worker.acknowledge(query.acknowledged)
        deadline = _now() + query.wait_s
        while (now := _now()) < deadline:
            news_at = self._worker.news_at(query.since)
            if news_at <= now:
                break
            await self._changed.wait_until(min(news_at, deadline))
        return JSONResponse(
            _report_json(self._worker.report(query.since, _now()))
        )

    async def _leave(self, request: Request) -> Response:
        self._worker.leave(_now())
        self._changed.notify()
        return JSONResponse({})

    async def _ledger(self, request: Request) -> Response:
        self._worker.advance(_now())
        self._changed.notify()
        return JSONResponse(_ledger_json(self._worker))


def _now() -> float:
    return asyncio.get_running_loop().time()


def _refused(
    refusal: Refusal, echo: dict[str, str] | None = None
) -> JSONResponse:
    headers = {**(echo or {}), **_NOT_RUN}
    if isinstance(refusal, StaleEpoch):
        return JSONResponse(
            {"epoch": refusal.epoch}, status_code=409, headers=headers
        )
    if isinstance(refusal, UnknownTask):
        return json_error(404, "unknown_task", refusal.detail, headers)
    if isinstance(refusal, Leaving):
        return json_error(503, "leaving", refusal.detail, headers)
    return json_error(429, "no_room", refusal.detail, headers)


def _fence_json(answer: FenceAnswer) -> dict[str, Any]:
    capacity = answer.capacity
    return {
        "epoch": answer.token,
        "guards": answer.guards,
        "leaving": answer.leaving,
        "capacity": {
            **asdict(capacity.resources),
            "slots": capacity.slots,
            "connections": capacity.connections,
        },
        "running": [_running_json(held) for held in answer.running],
        "sequence": answer.sequence,
        "clock_s": answer.clock_s,
    }


def _running_json(held: Reservation) -> dict[str, Any]:
    return {
        "id": held.id,
        "kind": held.kind,
        "attempt": held.attempt,
        **asdict(held.needs),
    }


def _report_json(report: Report) -> dict[str, Any]:
    return {
        "sequence": report.sequence,
        "clock_s": report.clock_s,
        "leaving": report.leaving,
        "running": list(report.running),
        "ended": [asdict(ended) for ended in report.ended],
        "usage": [asdict(row) for row in report.usage],
    }


def _ledger_json(worker: StandinWorker) -> dict[str, Any]:
    return {
        "worker": worker.name,
        "executions": [
            {
                "id": execution.id,
                "kind": execution.kind,
                "key": execution.key,
                "service": execution.service,
                "attempt": execution.attempt,
                "start": execution.start,
                "end": execution.end,
                "how": execution.how,
            }
            for execution in worker.ledger.executions
        ],
        "peaks": {
            name: [peak.highest, peak.limit]
            for name, peak in worker.ledger.peaks.items()
        },
    }
