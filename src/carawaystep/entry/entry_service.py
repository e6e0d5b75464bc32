"""What an entry does for callers and operators."""

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
    """Everything that a front end can ask for, free of any encoding."""

    @property
    @abstractmethod
    def ready(self) -> bool:
        """Tell whether the process takes requests."""

    @abstractmethod
    def spec(self, service: str) -> ServiceSpec | None:
        """Return the document in force of a service, None when unknown."""

    @abstractmethod
    async def run_request(self, call: RequestCall) -> RequestResult:
        """Run a request of a latency-critical service.

        The front end has checked that the service is known, that the body is
        within its limit and that a key is given when it is required.
        """

    @abstractmethod
    async def submit_job(self, call: JobCall) -> Result[Job, CallFailure]:
        """Accept a job; it is stored when this returns Ok."""

    @abstractmethod
    async def find_job(self, job_id: str) -> Result[Job, CallFailure]:
        """Return a job."""

    @abstractmethod
    async def cancel_job(self, job_id: str) -> Result[Job, CallFailure]:
        """Cancel a job; one that has ended stays as it is."""

    @abstractmethod
    def documents(self) -> tuple[StoredDocument, ...]:
        """Return all documents in force, ordered by service."""

    @abstractmethod
    async def put_document(
        self, service: str, text: str, expected: int, team: str | None
    ) -> Result[DocumentCommit, CallFailure]:
        """Validate and store a document.

        :param service: name in the path; the document must name the same
        :param text: YAML text
        :param expected: version that it replaces, 0 for a new document
        :param team: team of the operator, None when it may edit all
        """

    @abstractmethod
    async def document_status(
        self, service: str
    ) -> Result[DocumentStatus, CallFailure]:
        """Tell where the newest version of a document is in force."""

    @abstractmethod
    def status(self) -> dict[str, Any]:
        """Return workers, queues and peers as JSON values."""

    @abstractmethod
    def timeline(self, since_s: float) -> tuple[float, list[TimelineEvent]]:
        """Return the present monotonic time and recent events.

        :param since_s: how many seconds to look back
        """
