"""Interface of an entry for its front ends."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import Any

    from result import Result

    from carawaystep.document.service_spec import ServiceSpec
    from carawaystep.document.stored_document import StoredDocument
    from carawaystep.entry.call_failure import CallFailure
    from carawaystep.entry.document_commit import DocumentCommit
    from carawaystep.entry.document_status import DocumentStatus
    from carawaystep.entry.job_call import JobCall
    from carawaystep.entry.request_call import RequestCall
    from carawaystep.entry.request_result import RequestResult
    from carawaystep.job.job import Job
    from carawaystep.timeline.timeline_event import TimelineEvent


class EntryService(ABC):
    """Operations for callers and operators, independent of any encoding."""

    @property
    @abstractmethod
    def ready(self) -> bool:
        """Return whether the process accepts requests."""

    @abstractmethod
    def spec(self, service: str) -> ServiceSpec | None:
        """Return the spec of the document in force, None if there is none."""

    @abstractmethod
    async def run_request(self, call: RequestCall) -> RequestResult:
        """Run a request of a latency-critical service.

        The front end has checked that the service is known, that the body is
        within its size limit and that an idempotency key is given if the
        service requires one.
        """

    @abstractmethod
    async def submit_job(self, call: JobCall) -> Result[Job, CallFailure]:
        """Accept a job; its row is stored when this returns Ok."""

    @abstractmethod
    async def find_job(self, job_id: str) -> Result[Job, CallFailure]:
        """Return the latest version of a job."""

    @abstractmethod
    async def cancel_job(self, job_id: str) -> Result[Job, CallFailure]:
        """Cancel a job; ended jobs and standing replicas stay unchanged."""

    @abstractmethod
    def documents(self) -> tuple[StoredDocument, ...]:
        """Return all documents in force, ordered by service."""

    @abstractmethod
    async def put_document(
        self, service: str, text: str, expected: int, team: str | None
    ) -> Result[DocumentCommit, CallFailure]:
        """Validate and store a document.

        :param service: service that the document must name
        :param text: YAML text
        :param expected: row version that it replaces, 0 for a new document
        :param team: team of the operator, None for one that may edit the
            documents of all teams
        """

    @abstractmethod
    async def document_status(
        self, service: str
    ) -> Result[DocumentStatus, CallFailure]:
        """Report in which entries the latest version is in force."""

    @abstractmethod
    def status(self) -> dict[str, Any]:
        """Return the state of workers, queues and peers as JSON values."""

    @abstractmethod
    def timeline(self, since_s: float) -> tuple[float, list[TimelineEvent]]:
        """Return the current monotonic time and recent events.

        :param since_s: maximum age of the events in seconds
        """
