"""Workers held free for large tasks during one placement pass."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.planner.eligibility import task_capacity
from carawaystep.workflow.urgency import UrgencyStage

if TYPE_CHECKING:
    from collections.abc import Sequence

    from carawaystep.fleet.tracked_run import TrackedRun
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow

# Workers held at most, as a share of the usable ones; held CPU stays idle.
# Long-running tasks may not fit for long, so that they hold few.
_MAX_HELD_SHARES = {
    UrgencyStage.INTERRUPTED: 1 / 16,
    UrgencyStage.STARTED: 1 / 2,
}


class HeldWorkers:
    """Workers that less urgent workflows may not use.

    Without them small tasks take each gap as soon as it opens, and tasks that
    need more CPU never find enough on one worker.
    """

    def __init__(self, usable: Sequence[TrackedWorker]) -> None:
        """Create an empty set for one pass.

        :param usable: workers that may get new work
        """
        self._usable_count = len(usable)
        self._keys: set[WorkerKey] = set()

    def open_to(
        self, workflow: Workflow, usable: list[TrackedWorker]
    ) -> list[TrackedWorker]:
        """Return the workers that a workflow may use.

        Best-effort tasks may use all, because they need no unreserved CPU.

        :param usable: workers that may get new work
        """
        if not self._keys or all(step.fills for step in workflow.spec.steps):
            return usable
        return [worker for worker in usable if worker.key not in self._keys]

    def hold_for(
        self,
        workflow: Workflow,
        stage: UrgencyStage,
        refs: list[TaskRef],
        open_workers: list[TrackedWorker],
    ) -> None:
        """Hold the workers on which tasks of a step fit soonest.

        :param stage: stage of the workflow; only interrupted and started
            ones hold workers
        :param refs: tasks of one step that did not fit
        :param open_workers: workers that the workflow may use
        """
        count = min(len(refs), self._limit(stage) - len(self._keys))
        if count <= 0:
            return
        ref = refs[0]
        suitable = [
            worker
            for worker in open_workers
            if task_capacity(workflow, ref, worker, _ending_runs(worker))
        ]
        suitable.sort(key=lambda worker: -worker.free_cpu_millis)
        self._keys.update(worker.key for worker in suitable[:count])

    def _limit(self, stage: UrgencyStage) -> int:
        """Return how many workers may be held up to a stage."""
        share = _MAX_HELD_SHARES.get(stage)
        if share is None:
            return 0
        return max(1, int(share * self._usable_count))


def _ending_runs(worker: TrackedWorker) -> list[TrackedRun]:
    """Return the runs that are being stopped or end by themselves."""
    return [
        run
        for run in worker.runs.values()
        if run.stopping or not run.step.long_running
    ]
