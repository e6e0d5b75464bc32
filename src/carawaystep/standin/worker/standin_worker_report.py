"""Report of a stand-in worker."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.standin.worker.usage_row import UsageRow
    from carawaystep.worker.ended_task import EndedTask


@dataclass(frozen=True, slots=True)
class StandinWorkerReport:
    """State and events of a worker, possibly at a past time.

    :param sequence: sequence number from which to poll next
    :param leaving: True if the worker is leaving the fleet
    :param running: ids of the running executions
    :param ended: tasks that ended after the last report
    :param usage: totals of ended executions
    :param clock_s: the worker's clock at the reported time, seconds
    """

    sequence: int
    leaving: bool
    running: tuple[str, ...]
    ended: tuple[EndedTask, ...]
    usage: tuple[UsageRow, ...]
    clock_s: float
