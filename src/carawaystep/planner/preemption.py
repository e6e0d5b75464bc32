"""Choice of runs that make room for more urgent work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.planner.eligibility import slots

if TYPE_CHECKING:
    from carawaystep.fleet.held_worker import HeldWorker
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow

Victim = tuple["HeldWorker", "TaskRef"]


def victims(
    workflow: Workflow, ref: TaskRef, usable: list[HeldWorker]
) -> list[Victim]:
    """Return runs to stop so that a step finds room.

    Runs that are stopping already count as room, so that a step evicts no
    more than it needs. Workers with most filling tasks go first.

    :param ref: a task of the step that found no room
    :param usable: workers that may get new work
    """
    missing = sum(
        1 for other in workflow.ready(float("inf")) if other[:3] == ref[:3]
    )
    for worker in usable:
        leaving = [held for held in worker.runs.values() if held.stopping]
        missing -= slots(workflow, ref, worker, leaving)
    chosen: list[Victim] = []
    for worker in sorted(usable, key=lambda w: -w.filling_count):
        if missing <= 0:
            break
        gained, on_worker = _on_worker(workflow, ref, worker, missing)
        missing -= gained
        chosen.extend((worker, victim) for victim in on_worker)
    return chosen


def _on_worker(
    workflow: Workflow, ref: TaskRef, worker: HeldWorker, missing: int
) -> tuple[int, list[TaskRef]]:
    """Return the gain and the runs to stop; those that lose least first."""
    leaving = [held for held in worker.runs.values() if held.stopping]
    before = slots(workflow, ref, worker, leaving)
    evictable = sorted(
        (not held.step.checkpointing, held.percent, other)
        for other, held in worker.runs.items()
        if held.priority > workflow.spec.priority
        and not held.stopping
        and not held.step.long_running
    )
    chosen: list[TaskRef] = []
    gained = 0
    for _, _, other in evictable:
        if gained >= missing:
            break
        chosen.append(other)
        leaving.append(worker.runs[other])
        gained = slots(workflow, ref, worker, leaving) - before
    return (gained, chosen) if gained > 0 else (0, [])
