"""Use of a stand-in worker by one kind of work."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.worker.work_kind import WorkKind


@dataclass(slots=True)
class UsageRow:
    """Totals since the start of the worker, over ended executions.

    Totals survive a lost report, which sums since the last one would not.

    :param service: name of the service
    :param kind: request or task
    :param ended: executions that ended
    :param failed: those of them that failed
    :param run_s: sum of their run times
    :param cpu_s: sum of their run times, each times its cores
    """

    service: str
    kind: WorkKind
    ended: int = 0
    failed: int = 0
    run_s: float = 0.0
    cpu_s: float = 0.0
