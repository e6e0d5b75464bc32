"""Job in replies to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import BaseModel

if TYPE_CHECKING:
    from carawaystep.job.job import Job


class JobView(BaseModel):
    """State of a job, its current attempt and worker."""

    id: str
    service: str
    state: str
    attempt: int
    worker: str
    reason: str

    @classmethod
    def from_job(cls, job: Job) -> JobView:
        """Return the view of a job."""
        return cls(
            id=job.id,
            service=job.service,
            state=job.state,
            attempt=job.attempt,
            worker=job.worker,
            reason=job.reason,
        )
