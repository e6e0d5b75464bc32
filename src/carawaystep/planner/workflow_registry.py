"""The workflows of one term and the changes to store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.planner.urgency_order import UrgencyOrder
from carawaystep.workflow.workflow import Workflow

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from carawaystep.planner.changes import Changes
    from carawaystep.planner.waiting_order import WaitingOrder
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow_spec import WorkflowSpec
    from carawaystep.workflow.workflow_state import WorkflowState


class WorkflowRegistry:
    """Holds the workflows by id, and only the state of settled ones.

    Invariant: a settled workflow stays known and is never added again.
    """

    def __init__(self, order: WaitingOrder | None = None) -> None:
        """Create an empty registry.

        :param order: order in which waiting workflows are placed, None for
            the one by urgency
        """
        self._order = order or UrgencyOrder()
        self._workflows: dict[str, Workflow] = {}
        self._final_states: dict[str, WorkflowState] = {}
        self._changed: set[str] = set()
        self._awaiting_placement: set[str] = set()

    def __iter__(self) -> Iterator[Workflow]:
        """Iterate over the workflows that are not settled."""
        return iter(self._workflows.values())

    @property
    def workflows(self) -> Mapping[str, Workflow]:
        """Return the workflows that are not settled, by id."""
        return self._workflows

    @property
    def final_states(self) -> Mapping[str, WorkflowState]:
        """Return the final states of settled workflows, by id."""
        return self._final_states

    def get(self, workflow_id: str) -> Workflow | None:
        """Return a workflow, None when it is unknown or settled."""
        return self._workflows.get(workflow_id)

    def add(self, spec: WorkflowSpec) -> Workflow:
        """Add a workflow whose tasks await placement."""
        workflow = Workflow(spec)
        self._workflows[spec.id] = workflow
        self._awaiting_placement.add(spec.id)
        return workflow

    def add_final_state(self, workflow_id: str, state: WorkflowState) -> None:
        """Add the final state of a workflow that was settled earlier."""
        self._final_states[workflow_id] = state

    def state(self, workflow_id: str) -> WorkflowState | None:
        """Return a workflow's state, None when it is unknown."""
        final = self._final_states.get(workflow_id)
        if final is not None:
            return final
        workflow = self._workflows.get(workflow_id)
        return None if workflow is None else workflow.state

    def count_queued(self) -> dict[str, int]:
        """Return the number of workflows that have not begun, by queue."""
        counts: dict[str, int] = {}
        for workflow in self._workflows.values():
            if not workflow.has_begun and not workflow.ended:
                queue = workflow.spec.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def mark_changed(self, workflow: Workflow) -> None:
        """Schedule a workflow to be stored and its tasks to be placed."""
        self._changed.add(workflow.id)
        self._awaiting_placement.add(workflow.id)

    def with_tasks_to_place(self) -> list[Workflow]:
        """Return the workflows with tasks to place, in no certain order."""
        workflow_ids = self._awaiting_placement & self._workflows.keys()
        return [self._workflows[workflow_id] for workflow_id in workflow_ids]

    def awaiting_placement(self, wall_now: float) -> list[Workflow]:
        """Return the workflows with tasks to place, in their order.

        :param wall_now: current wall-clock time in seconds
        """
        return sorted(
            self.with_tasks_to_place(),
            key=lambda workflow: self._order.rank(workflow, wall_now),
        )

    def waiting_long_running_tasks(
        self, wall_now: float
    ) -> list[tuple[Workflow, TaskRef]]:
        """Return the long-running tasks that are ready and have no run.

        :param wall_now: current wall-clock time in seconds
        """
        return [
            (workflow, ref)
            for workflow in self.awaiting_placement(wall_now)
            if workflow.spec.long_running
            for ref in workflow.ready_tasks(wall_now)
            if workflow.step(ref).long_running
        ]

    def mark_placed(self, workflow: Workflow) -> None:
        """Skip a workflow in placement until it changes again.

        To be called when no ready task is left to place.
        """
        self._awaiting_placement.discard(workflow.id)

    def settled_changes(self) -> list[Workflow]:
        """Return the settled workflows that the next batch will drop."""
        changed = (self._workflows[key] for key in self._changed)
        return [workflow for workflow in changed if workflow.settled]

    def move_changes_to(self, changes: Changes) -> None:
        """Move changed workflows to a batch to store; drop settled ones."""
        for workflow_id in self._changed:
            workflow = self._workflows[workflow_id]
            changes.progress[workflow_id] = workflow.record()
            changes.states[workflow_id] = workflow.state
            if workflow.settled:
                changes.settled[workflow_id] = workflow.state
                self._final_states[workflow_id] = workflow.state
                del self._workflows[workflow_id]
        self._awaiting_placement &= self._workflows.keys()
        self._changed.clear()
