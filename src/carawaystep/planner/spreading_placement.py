"""Placement on the least loaded worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.planner.task_placement import TaskPlacement

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.fleet.held_worker import HeldWorker
    from carawaystep.workflow.step_spec import StepSpec

# A filling task starts only where it finds at least this share of the
# processor it can use; with less it would only hold memory.
_FILLING_SHARE = 0.6


class SpreadingPlacement(TaskPlacement):
    """Spreads tasks so that each finds most processor, near its data."""

    def choose(
        self, step: StepSpec, candidates: Iterable[HeldWorker]
    ) -> HeldWorker | None:
        """Return the worker with most spare processor."""
        best: HeldWorker | None = None
        best_rank = (False, 0)
        for worker in candidates:
            near = not step.rack or worker.offer.rack == step.rack
            rank = (near, worker.spare_cpu)
            if best is None or rank > best_rank:
                best, best_rank = worker, rank
        if best is None:
            return None
        if step.fills and best.spare_cpu < step.cpu_millis * _FILLING_SHARE:
            return None
        return best
