"""Choice of the runs to stop in favour of more urgent tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.planner.eligibility import task_capacity

if TYPE_CHECKING:
    from carawaystep.fleet.tracked_run import TrackedRun
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow

_Victim = tuple["TrackedWorker", "TaskRef"]


def can_preempt(
    workflow: Workflow, ref: TaskRef, usable: list[TrackedWorker]
) -> bool:
    """Tell whether stops on some worker could make a task of a step fit.

    :param ref: a task of the step
    :param usable: workers that may get new work
    """
    return any(_may_gain(workflow, ref, worker) for worker in usable)


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
    candidates = [w for w in usable if _may_gain(workflow, ref, w)]
    if not candidates:
        return []
    missing_count = sum(
        1
        for other in workflow.ready_tasks(float("inf"))
        if other[:3] == ref[:3]
    )
    for worker in usable:
        missing_count -= task_capacity(
            workflow, ref, worker, _stopping_runs(worker)
        )
    chosen: list[_Victim] = []
    for worker in sorted(candidates, key=lambda w: -w.best_effort_count):
        if missing_count <= 0:
            break
        gained, on_worker = _victims_on(workflow, ref, worker, missing_count)
        missing_count -= gained
        chosen.extend((worker, victim) for victim in on_worker)
    return chosen


def _stopping_runs(worker: TrackedWorker) -> list[TrackedRun]:
    return [run for run in worker.runs.values() if run.stopping]


def _evictable_tasks(
    workflow: Workflow, worker: TrackedWorker
) -> list[TaskRef]:
    """Return the tasks on a worker that may be stopped for a workflow.

    Long-running tasks are never stopped.
    """
    priority = workflow.spec.priority
    return [
        ref
        for ref, tracked in worker.runs.items()
        if tracked.priority > priority
        and not tracked.stopping
        and not tracked.step.long_running
    ]


def _may_gain(workflow: Workflow, ref: TaskRef, worker: TrackedWorker) -> bool:
    """Tell whether a task could fit if all evictable runs were stopped.

    Most workers of a full service have none, or none that uses the
    processor; this rules them out before the runs are ranked.
    """
    evictable = _evictable_tasks(workflow, worker)
    if not evictable:
        return False
    ending_runs = _stopping_runs(worker)
    ending_runs.extend(worker.runs[other] for other in evictable)
    return task_capacity(workflow, ref, worker, ending_runs) > 0


def _victims_on(
    workflow: Workflow, ref: TaskRef, worker: TrackedWorker, missing_count: int
) -> tuple[int, list[TaskRef]]:
    """Return the number of tasks that fit in addition, and the runs to stop.

    Runs that lose the least work are stopped first: those that can resume
    from a checkpoint, then those with the least progress.

    :param missing_count: number of tasks that still lack capacity
    """
    stopping_runs = _stopping_runs(worker)
    before = task_capacity(workflow, ref, worker, stopping_runs)
    evictable = sorted(
        (
            not worker.runs[other].step.checkpointing,
            worker.runs[other].progress_percent,
            other,
        )
        for other in _evictable_tasks(workflow, worker)
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
