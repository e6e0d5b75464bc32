"""HTTP client of one worker."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING
from urllib.parse import quote
from urllib.parse import urlencode

from result import Err
from result import Ok

from carawaystep.adapters.http_client.http_client import HttpClient
from carawaystep.adapters.http_client.http_failure import HttpNotSent
from carawaystep.adapters.http_client.json_body import parse_json_body
from carawaystep.adapters.worker_http.worker_bodies import FenceResponseBody
from carawaystep.adapters.worker_http.worker_bodies import LeasesResponseBody
from carawaystep.adapters.worker_http.worker_bodies import ReportBody
from carawaystep.worker.capacity import Capacity
from carawaystep.worker.ended_task import EndedTask
from carawaystep.worker.fence_answer import FenceAnswer
from carawaystep.worker.reservation import Reservation
from carawaystep.worker.resources import Resources
from carawaystep.worker.worker_failure import WorkerFailed
from carawaystep.worker.worker_failure import WorkerOutcomeUnknown
from carawaystep.worker.worker_failure import WorkerRefused
from carawaystep.worker.worker_port import WorkerPort
from carawaystep.worker.worker_report import WorkerReport

if TYPE_CHECKING:
    from collections.abc import Sequence

    from result import Result

    from carawaystep.adapters.http_client.http_failure import HttpFailure
    from carawaystep.adapters.http_client.http_response import HttpResponse
    from carawaystep.adapters.http_client.json_body import Body
    from carawaystep.settings.entry_settings import WorkerSettings
    from carawaystep.worker.worker_failure import WorkerFailure
    from carawaystep.worker.worker_request import WorkerRequest
    from carawaystep.worker.worker_task import WorkerTask

# Connections of the worker that requests may not use: one for the report
# poll, one to replace that connection when it stops responding, and two for
# control calls.
RESERVED_CONNECTIONS = 4
CONTROL_CONNECTIONS = 2
REPORT_CONNECTIONS = 1

# A worker answers a report poll within wait_s; this is added for the network.
REPORT_TIMEOUT_MARGIN_S = 2.0

_SUCCESS_STATUSES = frozenset({200, 202, 204})


class HttpWorkerClient(WorkerPort):
    """Client of one worker; sends each call at most once.

    Requests, control calls and the report poll use separate connections, so
    that none of them waits for another kind.
    """

    def __init__(self, url: str, settings: WorkerSettings) -> None:
        """Create a client without connections.

        :param url: base URL of the worker
        :param settings: timeouts of calls
        """
        self._settings = settings
        # One connection until the response to a fence call states the limit.
        self._requests = HttpClient(url, max_connections=1)
        self._control = HttpClient(url, CONTROL_CONNECTIONS)
        self._reports = HttpClient(url, REPORT_CONNECTIONS)

    async def fence(
        self, owner: str, token: int
    ) -> Result[FenceAnswer, WorkerFailure]:
        """Make the worker refuse the calls of earlier owners.

        :param owner: name of the entry that owns the worker
        :param token: fencing token; a worker that guards refuses a fence
            with a lower one, and other calls unless they have this one
        """
        result = await self._post(
            "/v1/fence", {"owner": owner, "epoch": token}
        )
        if isinstance(result, Err):
            return result
        response = result.ok_value
        if response.status == 409:
            detail = "the worker has accepted a higher epoch"
            return Err(WorkerRefused(detail, token_refused=True))
        parsed = self._parse(FenceResponseBody, response)
        if isinstance(parsed, Err):
            return parsed
        body = parsed.ok_value
        if body.epoch != token:
            return Err(
                WorkerOutcomeUnknown(
                    "the response to the fence call has another epoch:"
                    f" {body.epoch}"
                )
            )
        max_request_connections = (
            body.capacity.connections - RESERVED_CONNECTIONS
        )
        self._requests.limit_connections(max(1, max_request_connections))
        return Ok(self._to_fence_answer(body))

    async def run_request(
        self, request: WorkerRequest, token: int, timeout_s: float
    ) -> Result[bytes, WorkerFailure]:
        """Run a request and return its complete response."""
        result = await self._requests.request(
            "POST",
            "/v1/requests",
            timeout_s,
            self._request_headers(request, token),
            request.body,
        )
        if isinstance(result, Err):
            return self._to_worker_failure(result.err_value)
        response = result.ok_value
        echoed_id = response.headers.get("carawaystep-request-id")
        if echoed_id is not None and echoed_id != request.request_id:
            detail = f"the response has the id of another request: {echoed_id}"
            return Err(WorkerOutcomeUnknown(detail))
        refusal = self._parse_refusal(response)
        if refusal is not None:
            return Err(refusal)
        if response.status == 500 and echoed_id is not None:
            return Err(
                WorkerFailed("the worker failed to execute the request")
            )
        if response.status != 200:
            return Err(
                WorkerOutcomeUnknown(f"the worker answered {response.status}")
            )
        if echoed_id is None or "content-length" not in response.headers:
            detail = "the response has no request id or no Content-Length"
            return Err(WorkerOutcomeUnknown(detail))
        return Ok(response.body)

    async def start_task(
        self, task: WorkerTask, token: int
    ) -> Result[None, WorkerFailure]:
        """Start an attempt of a job; a repeat has no further effect."""
        return await self._post_control_call(
            "/v1/tasks",
            {
                "id": task.id,
                "attempt": task.attempt,
                "epoch": token,
                "service": task.service,
                "lease_until_s": task.lease_until_s,
                "run_s": task.run_s,
                "needs": {
                    "cpu": task.needs.cpu,
                    "memory_mb": task.needs.memory_mb,
                    "accelerators": task.needs.accelerators,
                },
                "checkpoint": task.checkpoint,
            },
        )

    async def renew_leases(
        self, attempts: Sequence[tuple[str, int]], until_s: float, token: int
    ) -> Result[frozenset[str], WorkerFailure]:
        """Renew the leases of tasks."""
        tasks = [
            {"id": job_id, "attempt": attempt} for job_id, attempt in attempts
        ]
        result = await self._post(
            "/v1/leases",
            {"epoch": token, "until_s": until_s, "tasks": tasks},
        )
        if isinstance(result, Err):
            return result
        refusal = self._parse_refusal(result.ok_value)
        if refusal is not None:
            return Err(refusal)
        parsed = self._parse(LeasesResponseBody, result.ok_value)
        if isinstance(parsed, Err):
            return parsed
        return Ok(parsed.ok_value.unknown)

    async def checkpoint_task(
        self, job_id: str, attempt: int, token: int
    ) -> Result[None, WorkerFailure]:
        """Checkpoint a task, then stop it; it ends as evicted."""
        return await self._post_task_call("checkpoint", job_id, attempt, token)

    async def throttle_task(
        self, job_id: str, attempt: int, token: int
    ) -> Result[None, WorkerFailure]:
        """Reduce the speed of a task."""
        return await self._post_task_call("throttle", job_id, attempt, token)

    async def stop_task(
        self, job_id: str, attempt: int, token: int
    ) -> Result[None, WorkerFailure]:
        """Stop a task without a checkpoint."""
        return await self._post_task_call("stop", job_id, attempt, token)

    async def report(
        self, since: int, wait_s: float, acknowledged: int, token: int
    ) -> Result[WorkerReport, WorkerFailure]:
        """Wait for new events of the worker (long poll)."""
        query = urlencode(
            {
                "since": since,
                "wait_s": wait_s,
                "acknowledged": acknowledged,
                "epoch": token,
            }
        )
        result = await self._reports.request(
            "GET", f"/v1/report?{query}", wait_s + REPORT_TIMEOUT_MARGIN_S
        )
        if isinstance(result, Err):
            return self._to_worker_failure(result.err_value)
        refusal = self._parse_refusal(result.ok_value)
        if refusal is not None:
            return Err(refusal)
        parsed = self._parse(ReportBody, result.ok_value)
        if isinstance(parsed, Err):
            return parsed
        body = parsed.ok_value
        ended = tuple(
            EndedTask(
                task.sequence,
                task.id,
                task.attempt,
                task.how,
                task.checkpoint,
                task.detail,
            )
            for task in body.ended
        )
        return Ok(
            WorkerReport(
                body.sequence,
                body.leaving,
                body.running,
                ended,
                body.clock_s,
            )
        )

    async def close(self) -> None:
        """Close all connections to the worker."""
        for client in (self._requests, self._control, self._reports):
            await client.close()

    async def _post_task_call(
        self, call_name: str, job_id: str, attempt: int, token: int
    ) -> Result[None, WorkerFailure]:
        return await self._post_control_call(
            f"/v1/tasks/{quote(job_id, '')}/{call_name}",
            {"epoch": token, "attempt": attempt},
        )

    async def _post_control_call(
        self, path: str, body: dict[str, Any]
    ) -> Result[None, WorkerFailure]:
        result = await self._post(path, body)
        if isinstance(result, Err):
            return result
        response = result.ok_value
        refusal = self._parse_refusal(response)
        if refusal is not None:
            return Err(refusal)
        if response.status not in _SUCCESS_STATUSES:
            return Err(
                WorkerOutcomeUnknown(f"the worker answered {response.status}")
            )
        return Ok(None)

    async def _post(
        self, path: str, body: dict[str, Any]
    ) -> Result[HttpResponse, WorkerFailure]:
        result = await self._control.request(
            "POST",
            path,
            self._settings.timeout_s,
            {"Content-Type": "application/json"},
            json.dumps(body).encode(),
        )
        if isinstance(result, Err):
            return self._to_worker_failure(result.err_value)
        return Ok(result.ok_value)

    @staticmethod
    def _to_worker_failure(failure: HttpFailure) -> Err[WorkerFailure]:
        if isinstance(failure, HttpNotSent):
            return Err(WorkerRefused(failure.detail))
        return Err(WorkerOutcomeUnknown(failure.detail))

    @staticmethod
    def _parse_refusal(response: HttpResponse) -> WorkerRefused | None:
        """Return the refusal if the call certainly had no effect, else None.

        The worker marks such responses with ``Carawaystep-Not-Run: 1``; the
        status alone is not enough.
        """
        if not (400 <= response.status < 500 or response.status == 503):
            return None
        if response.headers.get("carawaystep-not-run") != "1":
            return None
        return WorkerRefused(
            f"the worker refused with status {response.status}",
            token_refused=response.status == 409,
            leaving=response.status == 503,
        )

    @staticmethod
    def _parse(
        model: type[Body], response: HttpResponse
    ) -> Result[Body, WorkerFailure]:
        if response.status != 200:
            return Err(
                WorkerOutcomeUnknown(f"the worker answered {response.status}")
            )
        return parse_json_body(model, response, "worker").map_err(
            WorkerOutcomeUnknown
        )

    @staticmethod
    def _request_headers(request: WorkerRequest, token: int) -> dict[str, str]:
        needs = request.needs
        headers = {
            "Content-Type": "application/octet-stream",
            "Carawaystep-Epoch": str(token),
            "Carawaystep-Request-Id": request.request_id,
            "Carawaystep-Service": request.service,
            "Carawaystep-Needs": f"cpu={needs.cpu}"
            f";memory_mb={needs.memory_mb}"
            f";accelerators={needs.accelerators}",
        }
        if request.idempotency_key is not None:
            headers["Idempotency-Key"] = request.idempotency_key
        return headers

    @staticmethod
    def _to_fence_answer(body: FenceResponseBody) -> FenceAnswer:
        capacity_body = body.capacity
        capacity = Capacity(
            Resources(
                capacity_body.cpu,
                capacity_body.memory_mb,
                capacity_body.accelerators,
            ),
            capacity_body.slots,
            capacity_body.connections,
        )
        running = tuple(
            Reservation(
                item.id,
                item.kind,
                item.attempt,
                Resources(item.cpu, item.memory_mb, item.accelerators),
            )
            for item in body.running
        )
        return FenceAnswer(
            body.epoch,
            body.guards,
            body.leaving,
            capacity,
            running,
            body.sequence,
            body.clock_s,
        )
