"""Stored form of a job, a row of the table ``jobs``."""

from __future__ import annotations

from msgspec import convert
from msgspec import Struct
from msgspec import to_builtins
from msgspec import ValidationError
from result import Err
from result import Ok
from result import Result

from carawaystep.job.job import Job
from carawaystep.job.job_state import JobState


class JobRow(Struct, frozen=True, omit_defaults=True):
    """The JSON value of a row.

    Its fields are those of ``Job`` without ``id`` and ``version``, which are
    the key and the version of the row.
    """

    service: str
    state: str
    submitted_at: float
    due_s: float
    run_s: float | None = None
    attempt: int = 0
    failures: int = 0
    worker: str = ""
    epoch: int = 0
    checkpoint: str | None = None
    standing: bool = False
    reason: str = ""
    input: str = "null"

    @classmethod
    def from_job(cls, job: Job) -> JobRow:
        """Build the stored form of a job."""
        return cls(
            service=job.service,
            state=job.state.value,
            submitted_at=job.submitted_at,
            due_s=job.due_s,
            run_s=job.run_s,
            attempt=job.attempt,
            failures=job.failures,
            worker=job.worker,
            epoch=job.epoch,
            checkpoint=job.checkpoint,
            standing=job.standing,
            reason=job.reason,
            input=job.input,
        )

    @classmethod
    def parse(
        cls, job_id: str, value: object, version: int
    ) -> Result[Job, str]:
        """Validate a row and build its job.

        :param job_id: key of the row
        :param value: JSON value of the row
        :param version: version of the row
        :returns: the job, or a description of the first error
        """
        try:
            row = convert(value, cls)
            state = JobState(row.state)
        except (ValidationError, ValueError) as exc:
            return Err(f"job {job_id}: {exc}")
        return Ok(
            Job(
                id=job_id,
                service=row.service,
                version=version,
                state=state,
                submitted_at=row.submitted_at,
                due_s=row.due_s,
                run_s=row.run_s,
                attempt=row.attempt,
                failures=row.failures,
                worker=row.worker,
                epoch=row.epoch,
                checkpoint=row.checkpoint,
                standing=row.standing,
                reason=row.reason,
                input=row.input,
            )
        )

    def to_value(self) -> object:
        """Return the row as JSON-compatible Python objects."""
        return to_builtins(self)
