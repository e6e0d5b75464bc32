"""HTTP API of a stand-in worker."""

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

from carawaystep.standin.http.change_notifier import ChangeNotifier
from carawaystep.standin.http.fault_controller import FaultController
from carawaystep.standin.http.fault_middleware import FaultMiddleware
from carawaystep.standin.http.json_errors import EXCEPTION_HANDLERS
from carawaystep.standin.http.json_errors import json_error
from carawaystep.standin.worker.bodies import FenceBody
from carawaystep.standin.worker.bodies import LeasesBody
from carawaystep.standin.worker.bodies import ReportQuery
from carawaystep.standin.worker.bodies import RequestHeaders
from carawaystep.standin.worker.bodies import TaskBody
from carawaystep.standin.worker.bodies import TaskControlBody
from carawaystep.standin.worker.bodies import TaskControlPath
from carawaystep.standin.worker.refusal import EpochRefused
from carawaystep.standin.worker.refusal import UnknownTask
from carawaystep.standin.worker.refusal import WorkerLeaving

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.responses import Response
    from starlette.types import ASGIApp

    from carawaystep.standin.worker.refusal import Refusal
    from carawaystep.standin.worker.standin_worker import StandinWorker
    from carawaystep.standin.worker.standin_worker_report import (
        StandinWorkerReport,
    )
    from carawaystep.worker.fence_answer import FenceAnswer
    from carawaystep.worker.reservation import Reservation

_FAULT_EXEMPT_PREFIXES = ("/faults", "/ledger", "/v1/leave")
_REQUEST_ID_HEADER = "Carawaystep-Request-Id"
_NOT_RUN_HEADERS = {"Carawaystep-Not-Run": "1"}


class WorkerApplication:
    """Translates HTTP requests into calls to a ``StandinWorker``.

    It also provides the timer that ends the tasks of the worker.
    """

    def __init__(self, worker: StandinWorker) -> None:
        """Create the application.

        :param worker: the stand-in worker
        """
        self._worker = worker
        self._state_changed = ChangeNotifier()
        self._fault_controller = FaultController(
            worker.faults, self._state_changed
        )

    def create_asgi_app(self) -> ASGIApp:
        """Create the ASGI application with fault injection."""
        app = Starlette(
            routes=[
                Route("/v1/fence", self._fence, methods=["POST"]),
                Route("/v1/requests", self._run_request, methods=["POST"]),
                Route("/v1/tasks", self._start_task, methods=["POST"]),
                Route("/v1/leases", self._renew_leases, methods=["POST"]),
                Route(
                    "/v1/tasks/{id}/{call}",
                    self._control_task,
                    methods=["POST"],
                ),
                Route("/v1/report", self._get_report, methods=["GET"]),
                Route("/v1/leave", self._leave, methods=["POST"]),
                Route("/ledger", self._get_ledger, methods=["GET"]),
                Route(
                    "/faults",
                    self._fault_controller.replace_faults,
                    methods=["POST"],
                ),
            ],
            exception_handlers=EXCEPTION_HANDLERS,
        )
        return FaultMiddleware(
            app,
            self._fault_controller,
            _FAULT_EXEMPT_PREFIXES,
            _NOT_RUN_HEADERS,
        )

    async def run_task_timer(self) -> None:
        """End each task when its run time or its lease is over.

        Runs until it is cancelled.
        """
        while True:
            ends_at = self._worker.next_end_at()
            await self._state_changed.wait_until(ends_at)
            self._worker.end_due_tasks(_now())
            # A call may have ended the task just before this timer without
            # notifying the long polls.
            if ends_at <= _now():
                self._state_changed.notify()

    async def _fence(self, request: Request) -> Response:
        body = FenceBody.model_validate_json(await request.body())
        outcome = self._worker.fence(body.epoch, _now())
        if isinstance(outcome, Err):
            return _refusal_response(outcome.err_value)
        return JSONResponse(_fence_json(outcome.ok_value))

    async def _run_request(self, request: Request) -> Response:
        headers = RequestHeaders.from_headers(request.headers)
        echo_headers = {_REQUEST_ID_HEADER: headers.request_id}
        work = headers.to_request(await request.body())
        outcome = self._worker.start_request(work, headers.epoch, _now())
        if isinstance(outcome, Err):
            return _refusal_response(outcome.err_value, echo_headers)
        run = outcome.ok_value
        await asyncio.sleep(run.ends_at - _now())
        self._worker.end_request(run, _now())
        if run.fails:
            return json_error(
                500, "failed", "the execution failed", echo_headers
            )
        return JSONResponse(
            {
                "request_id": work.request_id,
                "service": work.service,
                "worker": self._worker.name,
                "length": len(work.body),
                "sha256": sha256(work.body).hexdigest(),
            },
            headers=echo_headers,
        )

    async def _start_task(self, request: Request) -> Response:
        body = TaskBody.model_validate_json(await request.body())
        outcome = self._worker.start_task(body.to_task(), body.epoch, _now())
        self._state_changed.notify()
        if isinstance(outcome, Err):
            return _refusal_response(outcome.err_value)
        return JSONResponse({}, status_code=202)

    async def _renew_leases(self, request: Request) -> Response:
        body = LeasesBody.model_validate_json(await request.body())
        attempts = [(task.id, task.attempt) for task in body.tasks]
        outcome = self._worker.renew_leases(
            attempts, body.until_s, body.epoch, _now()
        )
        self._state_changed.notify()
        if isinstance(outcome, Err):
            return _refusal_response(outcome.err_value)
        return JSONResponse({"unknown": list(outcome.ok_value)})

    async def _control_task(self, request: Request) -> Response:
        path = TaskControlPath.model_validate(request.path_params)
        body = TaskControlBody.model_validate_json(await request.body())
        call = {
            "checkpoint": self._worker.checkpoint_task,
            "throttle": self._worker.throttle_task,
            "stop": self._worker.stop_task,
        }[path.call]
        outcome = call(path.id, body.attempt, body.epoch, _now())
        self._state_changed.notify()
        if isinstance(outcome, Err):
            return _refusal_response(outcome.err_value)
        return JSONResponse({"how": outcome.ok_value})

    async def _get_report(self, request: Request) -> Response:
        query = ReportQuery.model_validate(dict(request.query_params))
        if query.epoch is not None:
            refusal = self._worker.check_epoch(query.epoch)
            if refusal is not None:
                return _refusal_response(refusal)
        self._worker.acknowledge(query.acknowledged)
        deadline = _now() + query.wait_s
        while (now := _now()) < deadline:
            next_event_at = self._worker.next_event_at(query.since)
            if next_event_at <= now:
                break
            await self._state_changed.wait_until(min(next_event_at, deadline))
        return JSONResponse(
            _report_json(self._worker.report(query.since, _now()))
        )

    async def _leave(self, request: Request) -> Response:
        self._worker.leave(_now())
        self._state_changed.notify()
        return JSONResponse({})

    async def _get_ledger(self, request: Request) -> Response:
        self._worker.end_due_tasks(_now())
        self._state_changed.notify()
        return JSONResponse(_ledger_json(self._worker))


def _now() -> float:
    return asyncio.get_running_loop().time()


def _refusal_response(
    refusal: Refusal, echo_headers: dict[str, str] | None = None
) -> JSONResponse:
    headers = {**(echo_headers or {}), **_NOT_RUN_HEADERS}
    if isinstance(refusal, EpochRefused):
        return JSONResponse(
            {"epoch": refusal.epoch}, status_code=409, headers=headers
        )
    if isinstance(refusal, UnknownTask):
        return json_error(404, "unknown_task", refusal.detail, headers)
    if isinstance(refusal, WorkerLeaving):
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
        "running": [
            _running_json(reservation) for reservation in answer.running
        ],
        "sequence": answer.sequence,
        "clock_s": answer.clock_s,
    }


def _running_json(reservation: Reservation) -> dict[str, Any]:
    return {
        "id": reservation.id,
        "kind": reservation.kind,
        "attempt": reservation.attempt,
        **asdict(reservation.needs),
    }


def _report_json(report: StandinWorkerReport) -> dict[str, Any]:
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
