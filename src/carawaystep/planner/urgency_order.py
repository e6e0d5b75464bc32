"""Order of waiting workflows by their urgency."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.planner.waiting_order import WaitingOrder

if TYPE_CHECKING:
    from carawaystep.planner.waiting_order import WaitingRank
    from carawaystep.workflow.workflow import Workflow


class UrgencyOrder(WaitingOrder):
    """Places the most urgent workflow first; see :class:`Urgency`."""

    def rank(self, workflow: Workflow, wall_now: float) -> WaitingRank:
        """Return the rank of a workflow."""
        urgency = workflow.urgency(wall_now)
        return (
            urgency.priority,
            urgency.stage,
            urgency.remaining_s,
            urgency.deadline,
            urgency.workflow_id,
        )
