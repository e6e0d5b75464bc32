"""Which limit keeps the ready tasks of a step from a worker."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from carawaystep.planner.eligibility import may_run
from carawaystep.planner.eligibility import may_take

if TYPE_CHECKING:
    from collections.abc import Sequence

    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.workflow.step_spec import StepSpec
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow


class WaitLimit(StrEnum):
    """Limit that refused the tasks of a step in a placement pass.

    The limits are tested in this order, and the first one that leaves no
    worker counts.
    """

    PASS_FULL = "pass_full"
    TICKET = "ticket"
    NO_WORKER = "no_worker"
    LABEL = "label"
    CPU = "cpu"
    MEMORY = "memory"
    ACCELERATORS = "accelerators"
    MAX_PER_WORKER = "max_per_worker"
    HELD = "held"
    # Capacity is there, but the policy refuses the worker: the task would
    # harm others or find no idle CPU, or has failed there, or its gang does
    # not fit as a whole.
    POLICY = "policy"


def find_wait_limit(
    workflow: Workflow,
    ref: TaskRef,
    usable: Sequence[TrackedWorker],
    open_workers: Sequence[TrackedWorker],
) -> WaitLimit:
    """Return the limit that refused a task after a search in vain.

    :param ref: a task of the step
    :param usable: workers that may get new work
    :param open_workers: those that are not held for other workflows
    """
    if not usable:
        return WaitLimit.NO_WORKER
    step = workflow.step(ref)
    suitable = [w for w in usable if may_run(workflow, ref, w)]
    if not suitable:
        return WaitLimit.LABEL
    with_resources = [w for w in suitable if w.fits(step)]
    if not with_resources:
        return _lacking_resource(step, suitable)
    capable = [w for w in with_resources if may_take(step, ref, w)]
    if not capable:
        return WaitLimit.MAX_PER_WORKER
    open_keys = {worker.key for worker in open_workers}
    if not any(worker.key in open_keys for worker in capable):
        return WaitLimit.HELD
    return WaitLimit.POLICY


def _lacking_resource(
    step: StepSpec, suitable: list[TrackedWorker]
) -> WaitLimit:
    """Return the scarcest resource, when no worker has all of them."""
    if not step.fills:
        suitable = [
            w for w in suitable if step.cpu_millis <= w.free_cpu_millis
        ]
        if not suitable:
            return WaitLimit.CPU
    if not any(step.memory_mb <= w.free_memory_mb for w in suitable):
        return WaitLimit.MEMORY
    return WaitLimit.ACCELERATORS
