"""The workflows of one term and what of them has to be stored."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.workflow.workflow import Workflow

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from carawaystep.planner.changes import Changes
    from carawaystep.workflow.workflow_spec import WorkflowSpec
    from carawaystep.workflow.workflow_state import WorkflowState


class WorkflowRegistry:
    """Workflows by id; settled ones keep only their final state.

    Its rule: a workflow that is settled is known for good and never comes
    back.
    """

    def __init__(self) -> None:
        """Create a book without workflows."""
        self._workflows: dict[str, Workflow] = {}
        self._final_states: dict[str, WorkflowState] = {}
        self._changed: set[str] = set()
        self._awaiting_placement: set[str] = set()

    def __iter__(self) -> Iterator[Workflow]:
        """Return the workflows that are not settled."""
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
        """Return a workflow that is not settled."""
        return self._workflows.get(workflow_id)

    def add(self, spec: WorkflowSpec) -> Workflow:
        """Add a workflow whose tasks wait for places."""
        workflow = Workflow(spec)
        self._workflows[spec.id] = workflow
        self._awaiting_placement.add(spec.id)
        return workflow

    def add_final_state(self, workflow_id: str, state: WorkflowState) -> None:
        """Add the final state of a workflow that was settled earlier."""
        self._final_states[workflow_id] = state

    def state(self, workflow_id: str) -> WorkflowState | None:
        """Return a workflow's state, None when it is not known."""
        final = self._final_states.get(workflow_id)
        if final is not None:
            return final
        workflow = self._workflows.get(workflow_id)
        return None if workflow is None else workflow.state

    def count_queued(self) -> dict[str, int]:
        """Return the workflows that have not started, by queue."""
        counts: dict[str, int] = {}
        for workflow in self._workflows.values():
            if not workflow.started and not workflow.ended:
                queue = workflow.spec.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def mark_changed(self, workflow: Workflow) -> None:
        """Note that a workflow has to be stored and may need places."""
        self._changed.add(workflow.id)
        self._awaiting_placement.add(workflow.id)

    def awaiting_placement(self, wall_now: float) -> list[Workflow]:
        """Return the workflows that may need places, most urgent first.

        :param wall_now: present wall-clock time in seconds
        """
        names = self._awaiting_placement & self._workflows.keys()
        return sorted(
            (self._workflows[name] for name in names),
            key=lambda workflow: workflow.spec.urgency(wall_now),
        )

    def mark_placed(self, workflow: Workflow) -> None:
        """Note that a workflow needs no more places for now."""
        self._awaiting_placement.discard(workflow.id)

    def move_changes_to(self, changes: Changes) -> None:
        """Move what has changed into a batch that will be stored."""
        for name in self._changed:
            workflow = self._workflows[name]
            changes.progress[name] = workflow.record()
            changes.states[name] = workflow.state
            if workflow.settled:
                changes.ended[name] = workflow.state
                self._final_states[name] = workflow.state
                del self._workflows[name]
        self._awaiting_placement &= self._workflows.keys()
        self._changed.clear()
