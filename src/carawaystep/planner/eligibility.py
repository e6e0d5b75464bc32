"""Which workers may run a task, and how many tasks fit on them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence
    from collections.abc import Set

    from carawaystep.fleet.tracked_run import TrackedRun
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.workflow.step_spec import StepSpec
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow


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
    workflow: Workflow, ref: TaskRef, usable: Sequence[TrackedWorker]
) -> Set[WorkerKey]:
    """Return the workers that a task avoids because it has failed there.

    :param usable: all workers that may get new work; a task that has failed
        on as many avoids none
    """
    failed_on = workflow.task(ref).failed_on
    return failed_on if len(failed_on) < len(usable) else frozenset()


def eligible_workers(
    workflow: Workflow,
    ref: TaskRef,
    candidates: Iterable[TrackedWorker],
    usable: Sequence[TrackedWorker],
) -> Iterator[TrackedWorker]:
    """Iterate over the candidates that suit a task, ignoring tickets.

    A task avoids the workers on which it has failed, so that one faulty
    worker does not use up its attempts, unless it has failed on as many
    workers as are usable. The failures of a long-running task are not
    limited: those workers come last for it, if no other is eligible.

    :param candidates: workers that had capacity for a task of the step
    :param usable: all workers that may get new work
    """
    step = workflow.step(ref)
    avoided = avoided_workers(workflow, ref, usable)
    last_resorts: list[TrackedWorker] = []
    found = False
    for worker in candidates:
        if not may_take(step, ref, worker):
            continue
        if worker.key in avoided:
            last_resorts.append(worker)
            continue
        found = True
        yield worker
    if step.long_running and not found:
        yield from last_resorts


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
