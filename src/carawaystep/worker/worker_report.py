"""Report of a worker to its owner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.worker.ended_task import EndedTask


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Answer to a long poll.

    :param sequence: sequence number to pass as ``since`` in the next poll
    :param leaving: True if the worker is leaving the fleet
    :param running: ids of all running executions
    :param ended: tasks that ended after ``since``
    :param clock_s: the worker's monotonic clock at the time of the reported
        state, seconds
    """

    sequence: int
    leaving: bool
    running: frozenset[str]
    ended: tuple[EndedTask, ...]
    clock_s: float
