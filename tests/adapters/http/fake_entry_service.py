"""Fake entry service for the tests of the HTTP front end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err
from result import Ok

from carawaystep.document.service_kind import ServiceKind
from carawaystep.document.service_spec import ServiceSpec
from carawaystep.document.stored_document import StoredDocument
from carawaystep.entry.call_failure import CallFailure
from carawaystep.entry.call_failure import CallFailureCode
from carawaystep.entry.document_commit import DocumentCommit
from carawaystep.entry.document_status import DocumentStatus
from carawaystep.entry.entry_service import EntryService
from carawaystep.entry.request_result import RequestResult
from carawaystep.job.job import Job
from carawaystep.job.job_state import JobState
from carawaystep.request.reply import Reply
from carawaystep.timeline.timeline_event import TimelineEvent
from carawaystep.worker.resources import Resources

if TYPE_CHECKING:
    from typing import Any

    from result import Result

    from carawaystep.entry.job_call import JobCall
    from carawaystep.entry.request_call import RequestCall

JOB_ID = "0a-" + "0" * 30


def _spec(
    name: str, kind: ServiceKind, idempotent: bool = True
) -> ServiceSpec:
    return ServiceSpec(
        name, 3, "desk", kind, 50, Resources(), 2.0, idempotent, 1000, 10,
        20.0, 60.0, 5, True, 0,
    )  # fmt: skip


class FakeEntryService(EntryService):
    """Records calls and returns the results that a test has set.

    ``run_request`` waits until ``gate`` is set.
    """

    def __init__(self) -> None:
        self.is_ready = True
        self.specs = {
            "bookings": _spec("bookings", ServiceKind.LATENCY_CRITICAL),
            "charges": _spec("charges", ServiceKind.LATENCY_CRITICAL, False),
            "routes": _spec("routes", ServiceKind.BATCH),
        }
        self.reply = Reply.answered(b"42")
        self.error: Exception | None = None
        self.failure: CallFailure | None = None
        self.gate = asyncio.Event()
        self.gate.set()
        self.started_requests: list[RequestCall] = []
        self.finished_requests = 0
        self.submitted_jobs: list[JobCall] = []
        self.cancelled_job_ids: list[str] = []
        self.written_documents: list[tuple[str, str, int, str | None]] = []

    @property
    def ready(self) -> bool:
        return self.is_ready

    def spec(self, service: str) -> ServiceSpec | None:
        return self.specs.get(service)

    async def run_request(self, call: RequestCall) -> RequestResult:
        self.started_requests.append(call)
        await self.gate.wait()
        if self.error is not None:
            raise self.error
        self.finished_requests += 1
        return RequestResult("i1-7", self.reply)

    async def submit_job(self, call: JobCall) -> Result[Job, CallFailure]:
        self.submitted_jobs.append(call)
        return self._job()

    async def find_job(self, job_id: str) -> Result[Job, CallFailure]:
        return self._job()

    async def cancel_job(self, job_id: str) -> Result[Job, CallFailure]:
        self.cancelled_job_ids.append(job_id)
        return self._job()

    def documents(self) -> tuple[StoredDocument, ...]:
        return tuple(
            StoredDocument(name, 3, f"service: {name}\n", spec)
            for name, spec in sorted(self.specs.items())
        )

    async def put_document(
        self, service: str, text: str, expected: int, team: str | None
    ) -> Result[DocumentCommit, CallFailure]:
        self.written_documents.append((service, text, expected, team))
        if expected != 3:
            failure = CallFailure(CallFailureCode.CONFLICT, "read it again", 0)
            return Err(failure)
        return Ok(DocumentCommit(4, 99))

    async def document_status(
        self, service: str
    ) -> Result[DocumentStatus, CallFailure]:
        if self.failure is not None:
            return Err(self.failure)
        return Ok(DocumentStatus(3, 98, {"e1": 98}, True))

    def status(self) -> dict[str, Any]:
        return {"workers": 0}

    def timeline(self, since_s: float) -> tuple[float, list[TimelineEvent]]:
        event = TimelineEvent(1, 5.0, "worker.owned", "w1", {"epoch": 2})
        return since_s, [event]

    def _job(self) -> Result[Job, CallFailure]:
        if self.error is not None:
            raise self.error
        if self.failure is not None:
            return Err(self.failure)
        return Ok(Job(JOB_ID, "routes", 1, JobState.QUEUED, 0.0, 60.0, 20.0))
