"""What a worker reports to its owner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.worker.ended_task import EndedTask


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Answer to a long poll.

    :param sequence: pass it as ``since`` in the next poll
    :param leaving: True when the worker leaves the fleet
    :param running: ids of all executions now running
    :param ended: tasks that ended after ``since``
    :param clock_s: the worker's own monotonic clock at the time that the
        report shows, seconds
    """

    sequence: int
    leaving: bool
    running: frozenset[str]
    ended: tuple[EndedTask, ...]
    clock_s: float
