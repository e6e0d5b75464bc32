"""Ledger record of an execution on a stand-in worker."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.worker.execution_end import ExecutionEnd
    from carawaystep.worker.resources import Resources
    from carawaystep.worker.work_kind import WorkKind


@dataclass(slots=True, eq=False)
class Execution:
    """A request or one attempt of a job, as recorded in the ledger.

    :param id: request id or job id
    :param kind: request or task
    :param key: the caller's idempotency key, or None
    :param service: name of the service
    :param attempt: attempt number of a task, 0 for a request
    :param needs: resources that it uses in addition to one slot
    :param start: start time, seconds of the worker's monotonic clock
    :param end: end time on the same clock, None while it runs
    :param how: how it ended, None while it runs
    """

    id: str
    kind: WorkKind
    key: str | None
    service: str
    attempt: int
    needs: Resources
    start: float
    end: float | None = None
    how: ExecutionEnd | None = None
