"""Submits, finds and cancels jobs on behalf of callers."""

from __future__ import annotations

from secrets import token_hex
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from carawaystep.document.service_kind import ServiceKind
from carawaystep.entry.call_failure import CallFailure
from carawaystep.entry.call_failure import CallFailureCode
from carawaystep.job.job import Job
from carawaystep.job.job_id import job_id
from carawaystep.job.job_state import JobState
from carawaystep.store.table_failure import TableConflict
from carawaystep.store.table_failure import TableOutcomeUnknown

if TYPE_CHECKING:
    from carawaystep.entry.entry_state import EntryState
    from carawaystep.entry.job_call import JobCall
    from carawaystep.entry.job_repository import JobRepository
    from carawaystep.store.table_failure import TableFailure


class JobService:
    """Application service for jobs.

    A job is accepted once its row is stored.
    """

    def __init__(self, state: EntryState, repository: JobRepository) -> None:
        """Create a service.

        :param state: shared state of the entry process
        :param repository: reads and writes job rows
        """
        self._state = state
        self._repository = repository

    async def submit(self, call: JobCall) -> Result[Job, CallFailure]:
        """Store a new job.

        The job id is derived from the idempotency key, so a repeated call
        with the same key returns the job that the first one stored.
        """
        if self._state.draining:
            return Err(
                CallFailure(
                    CallFailureCode.DRAINING,
                    "This entry is draining; use another one.",
                )
            )
        spec = self._state.spec(call.service)
        if spec is None:
            return Err(_service_not_found(call.service))
        if spec.kind is not ServiceKind.BATCH:
            return Err(
                CallFailure(
                    CallFailureCode.INVALID,
                    f"Service {call.service!r} is {spec.kind.value}; only "
                    "batch services accept jobs.",
                )
            )
        key = call.idempotency_key or token_hex(16)
        job = Job(
            id=job_id(call.service, key),
            service=call.service,
            version=0,
            state=JobState.QUEUED,
            submitted_at=self._state.ports.clock.wall_now(),
            due_s=call.due_s or spec.due_s,
            run_s=call.run_s or spec.run_s,
            input=call.input,
        )
        written = await self._repository.write(job, job, None)
        if isinstance(written, Ok):
            return written
        if isinstance(written.err_value, TableConflict):
            return await self.find(job.id)
        return Err(_to_call_failure(written.err_value))

    async def find(self, identifier: str) -> Result[Job, CallFailure]:
        """Return the latest version of a job.

        When the row cannot be read, the last known version of a job that has
        not ended is returned.
        """
        read = await self._repository.read(identifier)
        if isinstance(read, Ok):
            if read.ok_value is None:
                return Err(_job_not_found(identifier))
            return Ok(read.ok_value)
        known = self._state.jobs.find(identifier)
        if known is not None:
            return Ok(known)
        return Err(_to_call_failure(read.err_value))

    async def cancel(self, identifier: str) -> Result[Job, CallFailure]:
        """Cancel a job; ended jobs and standing replicas stay unchanged."""
        updated = await self._repository.update(
            identifier, _cancel_if_active, None
        )
        if not isinstance(updated, Ok):
            return Err(_to_call_failure(updated.err_value))
        if updated.ok_value is None:
            return Err(_job_not_found(identifier))
        return Ok(updated.ok_value)


def _cancel_if_active(job: Job) -> Job | None:
    if job.ended or job.standing or job.state is JobState.CANCELLING:
        return None
    return job.cancel()


def _service_not_found(service: str) -> CallFailure:
    return CallFailure(
        CallFailureCode.NOT_FOUND,
        f"No document of service {service!r} is in force; apply one first.",
    )


def _job_not_found(identifier: str) -> CallFailure:
    return CallFailure(
        CallFailureCode.NOT_FOUND, f"Job {identifier!r} does not exist."
    )


def _to_call_failure(failure: TableFailure) -> CallFailure:
    if isinstance(failure, TableOutcomeUnknown):
        return CallFailure(
            CallFailureCode.UNKNOWN,
            "The platform did not confirm the call, which may have taken "
            "effect. Repeat it, with the same idempotency key if it had one; "
            "a submission without a key may be stored twice.",
        )
    return CallFailure(
        CallFailureCode.PLATFORM_UNAVAILABLE,
        "The job could not be read from or stored on the platform; nothing "
        "was changed. Try again later.",
    )
