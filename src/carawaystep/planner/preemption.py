"""Choice of the runs to stop in favour of more urgent tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.planner.eligibility import task_capacity

if TYPE_CHECKING:
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow

_Victim = tuple["TrackedWorker", "TaskRef"]


def select_victims(
    workflow: Workflow, ref: TaskRef, usable: list[TrackedWorker]
) -> list[_Victim]:
    """Return the runs to stop so that the ready tasks of a step fit.

    The capacity of runs that are already stopping counts as free, so that no
    more runs are stopped than necessary. Workers with the most best-effort
    tasks come first.

    :param ref: a task of the step that did not fit
    :param usable: workers that may get new work
    :returns: worker and task of each run to stop
    """
    missing_count = sum(
        1
        for other in workflow.ready_tasks(float("inf"))
        if other[:3] == ref[:3]
    )
    for worker in usable:
        stopping_runs = [
            tracked for tracked in worker.runs.values() if tracked.stopping
        ]
        missing_count -= task_capacity(workflow, ref, worker, stopping_runs)
    chosen: list[_Victim] = []
    for worker in sorted(usable, key=lambda w: -w.best_effort_count):
        if missing_count <= 0:
            break
        gained, on_worker = _victims_on(workflow, ref, worker, missing_count)
        missing_count -= gained
        chosen.extend((worker, victim) for victim in on_worker)
    return chosen


def _victims_on(
    workflow: Workflow, ref: TaskRef, worker: TrackedWorker, missing_count: int
) -> tuple[int, list[TaskRef]]:
    """Return the number of tasks that fit in addition, and the runs to stop.

    Runs that lose the least work are stopped first: those that can resume
    from a checkpoint, then those with the least progress. Long-running tasks
    are never stopped.

    :param missing_count: number of tasks that still lack capacity
    """
    stopping_runs = [
        tracked for tracked in worker.runs.values() if tracked.stopping
    ]
    before = task_capacity(workflow, ref, worker, stopping_runs)
    evictable = sorted(
        (not tracked.step.checkpointing, tracked.progress_percent, other)
        for other, tracked in worker.runs.items()
        if tracked.priority > workflow.spec.priority
        and not tracked.stopping
        and not tracked.step.long_running
    )
    chosen: list[TaskRef] = []
    gained = 0
    for _, _, other in evictable:
        if gained >= missing_count:
            break
        chosen.append(other)
        stopping_runs.append(worker.runs[other])
        gained = task_capacity(workflow, ref, worker, stopping_runs) - before
    return (gained, chosen) if gained > 0 else (0, [])
