"""Answer of a stand-in worker to a poll."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.standin.worker.usage_row import UsageRow
    from carawaystep.worker.ended_task import EndedTask


@dataclass(frozen=True, slots=True)
class Report:
    """State and news of a worker, possibly aged.

    :param sequence: poll from here next
    :param leaving: True when the worker leaves the fleet
    :param running: ids of the executions that run
    :param ended: ends after the last report
    :param usage: totals of ended executions
    :param clock_s: the worker's clock at the time that the report shows
    """

    sequence: int
    leaving: bool
    running: tuple[str, ...]
    ended: tuple[EndedTask, ...]
    usage: tuple[UsageRow, ...]
    clock_s: float
