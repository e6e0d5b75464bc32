"""Which workers may run a task, and how many tasks they have room for."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from carawaystep.fleet.tracked_run import TrackedRun
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow


def may_run(workflow: Workflow, ref: TaskRef, worker: TrackedWorker) -> bool:
    """Tell whether a worker's service and labels suit a task."""
    label = workflow.step(ref).label
    offer = worker.offer
    return offer.service == workflow.spec.service and (
        not label or label in offer.labels
    )


def workers_with_capacity(
    workflow: Workflow,
    ref: TaskRef,
    usable: Iterable[TrackedWorker],
    now: float,
) -> list[TrackedWorker]:
    """Return the workers that suit a step and have room for a task of it.

    While tasks are only placed, no other worker joins them, so that they
    are looked for once for all tasks of a step.

    :param ref: any task of the step
    :param usable: workers that may get new work
    :param now: present time, seconds of a steady clock
    """
    step = workflow.step(ref)
    return [
        worker
        for worker in usable
        if worker.fits(step)
        and may_run(workflow, ref, worker)
        and (not step.fills or worker.accepts_best_effort(now))
    ]


def eligible_workers(
    workflow: Workflow,
    ref: TaskRef,
    candidates: Iterable[TrackedWorker],
    usable: Sequence[TrackedWorker],
) -> Iterator[TrackedWorker]:
    """Return the workers that may get one more task now.

    A task that failed is tried elsewhere, so that one bad worker does not
    use up its attempts.

    :param candidates: workers that had room for a task of the step
    :param usable: all workers that may get new work
    """
    step = workflow.step(ref)
    failed_on = workflow.task(ref).failed_on
    avoided = failed_on if len(failed_on) < len(usable) else set()
    for worker in candidates:
        if not worker.fits(step) or worker.key in avoided:
            continue
        if step.max_per_worker:
            same = sum(1 for _ in worker.tasks_of_step(ref))
            if same >= step.max_per_worker:
                continue
        yield worker


def task_capacity(
    workflow: Workflow,
    ref: TaskRef,
    worker: TrackedWorker,
    leaving: Iterable[TrackedRun],
) -> int:
    """Return how many tasks of a step fit once some runs have left."""
    if not may_run(workflow, ref, worker):
        return 0
    step = workflow.step(ref)
    capacity = worker.task_capacity_after(step, leaving)
    if step.max_per_worker:
        same = sum(1 for _ in worker.tasks_of_step(ref))
        capacity = min(capacity, step.max_per_worker - same)
    return max(0, capacity)
