"""Stops of the runs of workflows."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.planner.immediate_orders import ImmediateOrders
    from carawaystep.planner.worker_registry import WorkerRegistry
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow


class RunStopper:
    """Orders the stops of a workflow's runs, wherever they are."""

    def __init__(
        self, workers: WorkerRegistry, immediate_orders: ImmediateOrders
    ) -> None:
        """Create a stopper.

        :param workers: the workers
        :param immediate_orders: receives the stops
        """
        self._workers = workers
        self._immediate_orders = immediate_orders

    def stop_workflow(self, workflow: Workflow, reason: str) -> None:
        """Stop all runs of a workflow.

        :param reason: reason for the log
        """
        for ref, _ in list(workflow.placed_tasks()):
            self.stop_task(workflow, ref, reason)

    def stop_gang(self, workflow: Workflow, ref: TaskRef) -> None:
        """Stop the other tasks of a gang when a run of one ended or was lost.

        Does nothing for a task that is not in a gang.
        """
        if workflow.step(ref).gang:
            for sibling in workflow.step_tasks(ref):
                self.stop_task(workflow, sibling, "gang-broken")

    def repeat_stops(self) -> None:
        """Repeat the stops of runs that have not ended yet.

        A worker that is not listed may still work; its runs count as lost
        once it has not reported for long enough.
        """
        for worker in self._workers:
            if worker.last_report_at is None:
                continue
            for ref, tracked in worker.runs.items():
                if tracked.stopping:
                    self._immediate_orders.repeat_stop(
                        worker, ref, tracked.run
                    )

    def stop_task(self, workflow: Workflow, ref: TaskRef, reason: str) -> None:
        """Stop a task's current run, if it has one.

        :param reason: reason for the log
        """
        task = workflow.task(ref)
        worker = (
            None if task.worker is None else self._workers.get(task.worker)
        )
        if worker is not None:
            self._immediate_orders.stop(worker, ref, task.run, reason)
