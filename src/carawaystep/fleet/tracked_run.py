"""A run that the planner expects on a worker."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.workflow.step_spec import StepSpec


@dataclass(slots=True)
class TrackedRun:
    """A run that may exist on a worker; times are monotonic seconds.

    :param run: number of the run
    :param step: step of the task
    :param priority: priority of its workflow, 0 is the highest
    :param placed_at: when it was placed on the worker
    :param stopping: whether a stop has been ordered
    :param in_doubt: whether the answer to its start was lost
    :param reports_without_run: number of consecutive reports that do not list
        it since its stop was confirmed; None before that, and always for a
        run that is not in doubt
    :param forced: whether it was placed beside tasks that it likely harms,
        because its workflow had no other run
    :param progress_percent: last reported progress
    :param tail_ms_or_cpu_millis: last reported tail latency of a serving
        task, CPU use of any other task
    :param pace_percent: share of full speed that was last ordered
    :param pace_set_at: when the pace was last ordered
    :param over_target_since: when the tail of a serving task was first
        reported over its target, None while it is within the target
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
