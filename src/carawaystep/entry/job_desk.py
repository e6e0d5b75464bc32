"""Takes, finds and cancels jobs for callers."""

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
    from carawaystep.entry.job_recorder import JobRecorder
    from carawaystep.store.table_failure import TableFailure


class JobDesk:
    """Front of the job table; a job is accepted once its row is stored."""

    def __init__(self, state: EntryState, recorder: JobRecorder) -> None:
        """Create a desk.

        :param state: state of the process
        :param recorder: writes job rows
        """
        self._state = state
        self._recorder = recorder

    async def submit(self, call: JobCall) -> Result[Job, CallFailure]:
        """Store a job; a repeat with the same key finds the first one."""
        if self._state.draining:
            return Err(
                CallFailure(
                    CallFailureCode.DRAINING,
                    "This entry is stopping; use another one.",
                )
            )
        spec = self._state.spec(call.service)
        if spec is None:
            return Err(_no_service(call.service))
        if spec.kind is not ServiceKind.BATCH:
            return Err(
                CallFailure(
                    CallFailureCode.INVALID,
                    f"Service {call.service!r} is {spec.kind.value}; only "
                    "batch services take jobs.",
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
        written = await self._recorder.write(job, job, None)
        if isinstance(written, Ok):
            return written
        if isinstance(written.err_value, TableConflict):
            return await self.find(job.id)
        return Err(_failure(written.err_value))

    async def find(self, name: str) -> Result[Job, CallFailure]:
        """Return the newest version of a job."""
        read = await self._recorder.read(name)
        if isinstance(read, Ok):
            if read.ok_value is None:
                return Err(_no_job(name))
            return Ok(read.ok_value)
        known = self._state.jobs.find(name)
        if known is not None:
            return Ok(known)
        return Err(_failure(read.err_value))

    async def cancel(self, name: str) -> Result[Job, CallFailure]:
        """Cancel a job; one that has ended stays as it is."""
        changed = await self._recorder.change(name, _cancelled, None)
        if not isinstance(changed, Ok):
            return Err(_failure(changed.err_value))
        if changed.ok_value is None:
            return Err(_no_job(name))
        return Ok(changed.ok_value)


def _cancelled(job: Job) -> Job | None:
    if job.ended or job.standing or job.state is JobState.CANCELLING:
        return None
    return job.cancel()


def _no_service(service: str) -> CallFailure:
    return CallFailure(
        CallFailureCode.NOT_FOUND,
        f"No document of service {service!r} is in force; apply one first.",
    )


def _no_job(name: str) -> CallFailure:
    return CallFailure(
        CallFailureCode.NOT_FOUND, f"Job {name!r} does not exist."
    )


def _failure(failure: TableFailure) -> CallFailure:
    if isinstance(failure, TableOutcomeUnknown):
        return CallFailure(
            CallFailureCode.UNKNOWN,
            "The platform did not tell whether the change was stored; send "
            "it again with the same key.",
        )
    return CallFailure(
        CallFailureCode.PLATFORM_UNAVAILABLE,
        "The platform does not answer; nothing was changed. Try again later.",
    )
