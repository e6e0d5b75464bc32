"""Workers held free for started workflows during one placement pass."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.planner.eligibility import task_capacity

if TYPE_CHECKING:
    from collections.abc import Sequence

    from carawaystep.fleet.tracked_run import TrackedRun
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow

# Workers held at most, as a share of the usable ones; held CPU stays idle.
_MAX_HELD_SHARE = 0.5


class HeldWorkers:
    """Workers that less urgent workflows may not use.

    Without them small tasks take each gap as soon as it opens, and tasks that
    need more CPU never find enough on one worker.
    """

    def __init__(self, usable: Sequence[TrackedWorker]) -> None:
        """Create an empty set for one pass.

        :param usable: workers that may get new work
        """
        self._max_held = int(_MAX_HELD_SHARE * len(usable))
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
        ref: TaskRef,
        open_workers: list[TrackedWorker],
        count: int,
    ) -> None:
        """Hold the workers on which tasks of a step fit soonest.

        :param ref: a task of the step that did not fit
        :param open_workers: workers that the workflow may use
        :param count: number of tasks that did not fit
        """
        count = min(count, self._max_held - len(self._keys))
        if count <= 0:
            return
        suitable = [
            worker
            for worker in open_workers
            if task_capacity(workflow, ref, worker, _ending_runs(worker))
        ]
        suitable.sort(key=lambda worker: -worker.free_cpu_millis)
        self._keys.update(worker.key for worker in suitable[:count])


def _ending_runs(worker: TrackedWorker) -> list[TrackedRun]:
    """Return the runs that end by themselves."""
    return [run for run in worker.runs.values() if not run.step.long_running]
