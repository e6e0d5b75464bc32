"""A run as the planner accounts for it on a worker."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.workflow.step_spec import StepSpec


@dataclass(slots=True)
class TrackedRun:
    """What one run takes from its worker.

    :param run: number of the run
    :param step: step of the task
    :param priority: priority of its workflow, 0 is the highest
    :param placed_at: when it was given to the worker, seconds
    :param stopping: whether it has been ordered to stop
    :param in_doubt: whether the answer to its start was lost
    :param reports_without_run: reports without it since its stop was confirmed, None
        before the confirmation
    :param forced: whether it was placed beside tasks that it likely harms,
        because nothing else of its workflow runs
    :param progress_percent: reported progress
    :param tail_ms_or_cpu_millis: reported tail latency or processor use
    :param pace_percent: share of full speed it was last ordered to, percent
    :param pace_set_at: when that was, seconds
    :param over_target_since: when the tail of a serving task was first reported
        over its target, None while it is not
    """

    run: int
    step: StepSpec
    priority: int
    placed_at: float
    stopping: bool = False
    in_doubt: bool = False
    reports_without_run: int | None = None
    forced: bool = False
    progress_percent: float = 0.0
    tail_ms_or_cpu_millis: float = 0.0
    pace_percent: int = 100
    pace_set_at: float = 0.0
    over_target_since: float | None = None
