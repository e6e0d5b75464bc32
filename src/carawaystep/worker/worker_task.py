"""Task message to a worker."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.worker.resources import Resources


@dataclass(frozen=True, slots=True)
class WorkerTask:
    """One attempt of a job.

    :param id: job id
    :param attempt: attempt number, from 1
    :param service: name of the service
    :param needs: resources reserved while it runs
    :param run_s: declared run time in seconds, None if it never completes
    :param lease_until_s: lease expiry by the worker's monotonic clock, seconds
    :param checkpoint: object key to resume from, or None
    """

    id: str
    attempt: int
    service: str
    needs: Resources
    run_s: float | None
    lease_until_s: float
    checkpoint: str | None
