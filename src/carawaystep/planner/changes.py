"""A planner's changes to store, and what to do once they are stored."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.fleet.order import Order
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.workflow.workflow_record import WorkflowRecord
    from carawaystep.workflow.workflow_spec import WorkflowSpec
    from carawaystep.workflow.workflow_state import WorkflowState


@dataclass(slots=True)
class Changes:
    """One batch; it is stored before its orders and states are sent.

    :param accepted: workflows to insert
    :param progress: progress to store, by workflow id
    :param settled: final states of settled workflows to store, by id
    :param orders: orders to send after the commit
    :param acknowledged: number of the last run end that the commit covers,
        by worker
    :param states: states to report to callers after the commit, by
        workflow id
    """

    accepted: list[WorkflowSpec] = field(default_factory=list)
    progress: dict[str, WorkflowRecord] = field(default_factory=dict)
    settled: dict[str, WorkflowState] = field(default_factory=dict)
    orders: list[Order] = field(default_factory=list)
    acknowledged: dict[WorkerKey, int] = field(default_factory=dict)
    states: dict[str, WorkflowState] = field(default_factory=dict)

    @property
    def is_empty(self) -> bool:
        """Tell whether the batch holds nothing."""
        return not (
            self.accepted
            or self.progress
            or self.settled
            or self.orders
            or self.acknowledged
            or self.states
        )

    @property
    def needs_commit(self) -> bool:
        """Tell whether the batch holds something to store."""
        return bool(self.accepted or self.progress or self.settled)
