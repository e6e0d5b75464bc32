"""Order of waiting workflows that costs their callers least."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING

from carawaystep.planner.waiting_order import WaitingOrder
from carawaystep.workflow.urgency import UrgencyStage

if TYPE_CHECKING:
    from carawaystep.planner.waiting_order import WaitingRank
    from carawaystep.workflow.remaining_work import RemainingWork
    from carawaystep.workflow.workflow import Workflow

# A workflow is worth as much to its caller as its tasks and this many more.
# The fixed part lets small ones go first; the other keeps the value of large
# ones, so that they are not passed for good.
_FIXED_VALUE_TASKS = 10.0
# Share of the value that an end after the deadline keeps.
_LATE_VALUE_SHARE = 0.2
# A wait of this share of the target duration reduces the urgency by e.
_SLACK_SCALE_SHARE = 1.0
# A workflow whose last tasks run is not urgent without limit.
_MIN_REMAINING_SHARE = 0.1


class LeastCostOrder(WaitingOrder):
    """Places first the workflow whose delay costs callers most.

    The cost is that of an apparent tardiness rule with two due dates: the
    value that is lost at the deadline and when the end is of no more use,
    for each second of CPU that the workflow still needs, and less the
    further away the loss is. Workflows that can no longer be of use come
    after all others, also after those of lower priority.
    """

    def rank(self, workflow: Workflow, wall_now: float) -> WaitingRank:
        """Return the rank of a workflow."""
        urgency = workflow.urgency(wall_now)
        remaining = workflow.remaining_work(wall_now)
        return (
            urgency.stage is UrgencyStage.EXPIRED,
            urgency.priority,
            min(urgency.stage, UrgencyStage.ON_TIME),
            urgency.remaining_s,
            -_delay_cost(remaining, workflow.spec.long_running, wall_now),
            urgency.deadline,
            urgency.workflow_id,
        )


def _delay_cost(
    remaining: RemainingWork, long_running: bool, wall_now: float
) -> float:
    """Return what a delay costs for each second of CPU that is left."""
    scale_s = _SLACK_SCALE_SHARE * remaining.target_duration_s
    urgency = (1.0 - _LATE_VALUE_SHARE) * _nearness(
        remaining.slack_s(wall_now), scale_s
    )
    if long_running:
        # It keeps the use that is left, however late it starts.
        urgency += _LATE_VALUE_SHARE
    else:
        urgency += _LATE_VALUE_SHARE * _nearness(
            remaining.useful_slack_s(wall_now), scale_s
        )
    return urgency * _value_density(remaining)


def _nearness(slack_s: float, scale_s: float) -> float:
    """Return 1 for a loss that is due now, less before it, 0 after it."""
    if slack_s < 0.0:
        return 0.0
    return exp(-slack_s / scale_s) if scale_s else 1.0


def _value_density(remaining: RemainingWork) -> float:
    """Return the value for the remaining CPU, 1 for one of equal tasks."""
    value = 1.0 + _FIXED_VALUE_TASKS / remaining.all_tasks
    if not remaining.all_cpu_s:
        return value
    left = remaining.cpu_s / remaining.all_cpu_s
    return value / max(left, _MIN_REMAINING_SHARE)
