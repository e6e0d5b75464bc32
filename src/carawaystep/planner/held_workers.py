"""Workers held free for large tasks during one placement pass."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

from carawaystep.planner.eligibility import may_run
from carawaystep.planner.eligibility import task_capacity
from carawaystep.workflow.urgency import UrgencyStage

if TYPE_CHECKING:
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


@dataclass(frozen=True, slots=True)
class _FreeLater:
    """What is free on a worker once its ending runs have ended.

    :param run_count: number of runs at which it was worked out; in a pass,
        runs are only added
    :param cpu_millis: thousandths of a core
    :param memory_mb: megabytes
    :param accelerators: number of accelerators
    """

    run_count: int
    cpu_millis: int
    memory_mb: int
    accelerators: int


class HeldWorkers:
    """Workers that less urgent workflows may not use.

    Without them small tasks take each gap as soon as it opens, and tasks that
    need more CPU never find enough on one worker.
    """

    def __init__(self, usable: list[TrackedWorker]) -> None:
        """Create an empty set for one pass.

        :param usable: workers that may get new work
        """
        self._usable = usable
        self._keys: set[WorkerKey] = set()
        self._open = usable
        self._free_later: dict[WorkerKey, _FreeLater] = {}

    def open_to(self, workflow: Workflow) -> list[TrackedWorker]:
        """Return the workers that a workflow may use.

        Best-effort tasks may use all, because they need no unreserved CPU.
        """
        return self._usable if workflow.spec.best_effort else self._open

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
        suitable = (
            worker
            for worker in sorted(
                open_workers, key=lambda worker: -worker.free_cpu_millis
            )
            if self._may_fit(workflow, ref, worker)
        )
        self._keys.update(worker.key for worker in islice(suitable, count))
        self._open = [w for w in self._usable if w.key not in self._keys]

    def _may_fit(
        self, workflow: Workflow, ref: TaskRef, worker: TrackedWorker
    ) -> bool:
        """Tell whether a task fits once the runs that end by themselves end.

        What is free then is worked out once for each set of runs, because
        many steps ask for it in a pass.
        """
        step = workflow.step(ref)
        if step.max_per_worker:
            ending_runs = _ending_runs(worker)
            return task_capacity(workflow, ref, worker, ending_runs) > 0
        known = self._free_later.get(worker.key)
        if known is None or known.run_count != len(worker.runs):
            known = self._free_later[worker.key] = _free_later(worker)
        return (
            step.cpu_millis <= known.cpu_millis
            and step.memory_mb <= known.memory_mb
            and step.accelerators <= known.accelerators
            and may_run(workflow, ref, worker)
        )

    def _limit(self, stage: UrgencyStage) -> int:
        """Return how many workers may be held up to a stage."""
        share = _MAX_HELD_SHARES.get(stage)
        if share is None:
            return 0
        return max(1, int(share * len(self._usable)))


def _ending_runs(worker: TrackedWorker) -> list[TrackedRun]:
    """Return the runs that are being stopped or end by themselves."""
    return [run for run in worker.runs.values() if run.ends_by_itself]


def _free_later(worker: TrackedWorker) -> _FreeLater:
    cpu_millis = worker.free_cpu_millis
    memory_mb = worker.free_memory_mb
    accelerators = worker.free_accelerators
    for run in _ending_runs(worker):
        cpu_millis += 0 if run.step.fills else run.step.cpu_millis
        memory_mb += run.step.memory_mb
        accelerators += run.step.accelerators
    return _FreeLater(len(worker.runs), cpu_millis, memory_mb, accelerators)
