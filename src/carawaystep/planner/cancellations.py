"""Cancellations of workflows."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.planner.run_stopper import RunStopper
    from carawaystep.planner.workflow_registry import WorkflowRegistry
    from carawaystep.workflow.workflow import Workflow


class Cancellations:
    """Cancels workflows, also those that become known later.

    Submissions and cancellations are read by separate feeds, so a stored
    cancellation may be read first. That of an unknown workflow is kept and
    takes effect when the workflow is admitted.
    """

    def __init__(
        self,
        registry: WorkflowRegistry,
        stopper: RunStopper,
        log: DecisionLog,
    ) -> None:
        """Create the rules without any early cancellation.

        :param registry: the workflows
        :param stopper: stops the runs of cancelled workflows
        :param log: receives a line for each cancellation
        """
        self._registry = registry
        self._stopper = stopper
        self._log = log
        # Workflows whose cancellation is stored but that are not known yet.
        self._early: set[str] = set()

    def cancel(self, workflow_id: str, source: str) -> bool:
        """Cancel a workflow.

        :param source: where the cancellation comes from, for the log
        :returns: False when the workflow is unknown; True also when it has
            already ended
        """
        if workflow_id in self._registry.final_states:
            return True
        workflow = self._registry.get(workflow_id)
        if workflow is None:
            return False
        self._cancel_workflow(workflow, source)
        return True

    def cancel_or_keep(self, workflow_id: str) -> bool:
        """Apply a stored cancellation, or keep it for an unknown workflow.

        :returns: False when the workflow is unknown
        """
        if self.cancel(workflow_id, "store"):
            return True
        if workflow_id not in self._early:
            self._early.add(workflow_id)
            self._log.line("cancellation.early", workflow_id)
        return False

    def apply_early(self, workflow: Workflow) -> None:
        """Cancel an admitted workflow if its cancellation was read before."""
        if workflow.id in self._early:
            self._early.discard(workflow.id)
            self._cancel_workflow(workflow, "stored-before-submission")

    def _cancel_workflow(self, workflow: Workflow, source: str) -> None:
        if not workflow.cancel():
            return
        self._log.line("workflow.cancelled", workflow.id, source=source)
        self._registry.mark_changed(workflow)
        self._stopper.stop_workflow(workflow, "cancelled")
