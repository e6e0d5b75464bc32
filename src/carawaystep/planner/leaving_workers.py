"""Long-running tasks on workers that leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.planner.eligibility import eligible_workers
from carawaystep.planner.eligibility import workers_with_capacity

if TYPE_CHECKING:
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.planner.immediate_orders import ImmediateOrders
    from carawaystep.planner.worker_registry import WorkerRegistry
    from carawaystep.planner.workflow_registry import WorkflowRegistry


class LeavingWorkers:
    """Stops long-running tasks on leaving workers if they fit elsewhere.

    The limit ``max_unavailable`` of their step is not enforced.
    """

    def __init__(
        self,
        registry: WorkflowRegistry,
        workers: WorkerRegistry,
        immediate_orders: ImmediateOrders,
    ) -> None:
        """Create the rules of workers that leave.

        :param registry: the workflows
        :param workers: the workers
        :param immediate_orders: receives the stops
        """
        self._registry = registry
        self._workers = workers
        self._immediate_orders = immediate_orders

    def stop_tasks(self, now: float) -> None:
        """Stop the tasks that can move now.

        :param now: current time, seconds of a monotonic clock
        """
        usable = self._workers.usable(now)
        for worker in self._workers:
            if worker.leaving:
                self._stop_tasks_on(worker, usable, now)

    def _stop_tasks_on(
        self, worker: TrackedWorker, usable: list[TrackedWorker], now: float
    ) -> None:
        for ref, tracked in list(worker.runs.items()):
            workflow = self._registry.get(ref.workflow)
            if workflow is None or tracked.stopping:
                continue
            if not tracked.step.long_running:
                continue
            with_capacity = workers_with_capacity(workflow, ref, usable, now)
            if any(eligible_workers(workflow, ref, with_capacity, ())):
                self._immediate_orders.stop(
                    worker, ref, tracked.run, "worker-leaving"
                )
