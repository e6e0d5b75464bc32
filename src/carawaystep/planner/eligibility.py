"""Which workers may run a task, and how many tasks fit on them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Iterator

    from carawaystep.fleet.tracked_run import TrackedRun
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.workflow.step_spec import StepSpec
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow


# A task whose last run failed waits this long for a worker on which it has
# not failed, as long as there is one that can take it once its runs end.
_MAX_WAIT_FOR_OTHER_WORKER_S = 8.0
# A task is not started again sooner on a worker on which it failed, so that a
# short fault of the only worker for it does not use up its attempts.
_RETRY_DELAY_S = 2.0


def may_run(workflow: Workflow, ref: TaskRef, worker: TrackedWorker) -> bool:
    """Tell whether a worker's service and labels suit a task."""
    label = workflow.step(ref).label
    record = worker.record
    return record.service == workflow.spec.service and (
        not label or label in record.labels
    )


def suitable_workers(
    workflow: Workflow,
    ref: TaskRef,
    usable: Iterable[TrackedWorker],
    now: float,
) -> Iterator[TrackedWorker]:
    """Iterate over the workers that suit a step, whatever runs on them.

    :param ref: any task of the step
    :param usable: workers that may get new work
    :param now: current time, seconds of a monotonic clock
    """
    fills = workflow.step(ref).fills
    return (
        worker
        for worker in usable
        if may_run(workflow, ref, worker)
        and (not fills or worker.accepts_best_effort(now))
    )


def workers_with_capacity(
    workflow: Workflow,
    ref: TaskRef,
    usable: Iterable[TrackedWorker],
    now: float,
) -> list[TrackedWorker]:
    """Return the workers that suit a step and have capacity for a task of it.

    One call serves all tasks of a step: as long as tasks are only placed,
    capacity shrinks and no further worker can qualify.

    :param ref: any task of the step
    :param usable: workers that may get new work
    :param now: current time, seconds of a monotonic clock
    """
    step = workflow.step(ref)
    suitable = suitable_workers(workflow, ref, usable, now)
    return [worker for worker in suitable if worker.fits(step)]


def avoided_workers(
    workflow: Workflow,
    ref: TaskRef,
    candidates: Iterable[TrackedWorker],
    now: float,
) -> Collection[WorkerKey]:
    """Return the workers that a task must not get because it failed there.

    Otherwise a faulty worker, which is often the one with the most room,
    would use up the attempts of a task. The task waits for another worker
    only if one can take it, and for a limited time. A long-running task
    avoids none, because its failures are not limited.

    :param candidates: workers that may get new work and that the placement
        service has not denied to the step
    :param now: current time, seconds of a monotonic clock
    """
    failed_on = workflow.task(ref).failed_on
    if not failed_on or workflow.step(ref).long_running:
        return frozenset()
    waited_s = now - max(failed_on.values())
    if waited_s < _MAX_WAIT_FOR_OTHER_WORKER_S and any(
        worker.key not in failed_on and may_take_later(workflow, ref, worker)
        for worker in candidates
    ):
        return failed_on
    return frozenset(
        key
        for key, failed_at in failed_on.items()
        if now - failed_at < _RETRY_DELAY_S
    )


def eligible_workers(
    workflow: Workflow,
    ref: TaskRef,
    candidates: Iterable[TrackedWorker],
    avoided: Collection[WorkerKey],
) -> Iterator[TrackedWorker]:
    """Iterate over the candidates that suit a task, ignoring tickets.

    Workers on which the task has failed come only if no other is eligible.

    :param candidates: workers that had capacity for a task of the step
    :param avoided: workers that the task must not get, see
        :func:`avoided_workers`
    """
    step = workflow.step(ref)
    failed_on = workflow.task(ref).failed_on
    last_resorts: list[TrackedWorker] = []
    found = False
    for worker in candidates:
        if not may_take(step, ref, worker):
            continue
        if worker.key in failed_on:
            last_resorts.append(worker)
            continue
        found = True
        yield worker
    if not found:
        yield from (w for w in last_resorts if w.key not in avoided)


def may_take(step: StepSpec, ref: TaskRef, worker: TrackedWorker) -> bool:
    """Tell whether a worker has capacity for one more task of a step."""
    if not worker.fits(step):
        return False
    if step.max_per_worker:
        same_step = sum(1 for _ in worker.tasks_of_step(ref))
        return same_step < step.max_per_worker
    return True


def task_capacity(
    workflow: Workflow,
    ref: TaskRef,
    worker: TrackedWorker,
    ending_runs: Iterable[TrackedRun],
) -> int:
    """Return how many more tasks of a step fit after the given runs end.

    :param ref: any task of the step
    :param ending_runs: runs on the worker whose resources count as free
    """
    if not may_run(workflow, ref, worker):
        return 0
    step = workflow.step(ref)
    capacity = worker.task_capacity_after(step, ending_runs)
    if step.max_per_worker:
        same_step = sum(1 for _ in worker.tasks_of_step(ref))
        capacity = min(capacity, step.max_per_worker - same_step)
    return max(0, capacity)


def may_take_later(
    workflow: Workflow, ref: TaskRef, worker: TrackedWorker
) -> bool:
    """Tell whether a task fits once the runs that end by themselves end.

    Tasks of the same gang end with this one and count as staying.
    """
    is_gang = workflow.step(ref).gang
    ending_runs = [
        tracked
        for other, tracked in worker.runs.items()
        if tracked.ends_by_itself and not (is_gang and other[:3] == ref[:3])
    ]
    return task_capacity(workflow, ref, worker, ending_runs) > 0
