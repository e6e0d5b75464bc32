"""Resource usage of one kind of work on a stand-in worker."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.worker.work_kind import WorkKind


@dataclass(slots=True)
class UsageRow:
    """Totals of the ended executions since the start of the worker.

    A total survives a lost report; a sum since the last report would not.

    :param service: name of the service
    :param kind: request or task
    :param ended: number of ended executions
    :param failed: number of these that failed
    :param run_s: sum of their run times in seconds
    :param cpu_s: sum of run time multiplied by cores, in core seconds
    """

    service: str
    kind: WorkKind
    ended: int = 0
    failed: int = 0
    run_s: float = 0.0
    cpu_s: float = 0.0
