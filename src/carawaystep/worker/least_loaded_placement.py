"""Placement on the least loaded worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.worker.placement_policy import PlacementPolicy
from carawaystep.worker.work_kind import WorkKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.worker.resources import Resources
    from carawaystep.worker.worker import Worker


class LeastLoadedPlacement(PlacementPolicy):
    """Chooses the worker with the most free slots, then the least used CPU.

    Some slots of each worker are kept for requests: tasks may not use them.
    """

    def __init__(self, request_slots: int) -> None:
        """Create the policy.

        :param request_slots: slots of each worker that tasks may not use
        """
        self._request_slots = request_slots

    def choose(
        self,
        workers: Iterable[Worker],
        needs: Resources,
        kind: WorkKind,
        now: float,
    ) -> Worker | None:
        """Choose the least loaded worker with enough free capacity."""
        candidates = [
            worker
            for worker in workers
            if worker.can_accept_work(now)
            and worker.has_room(needs)
            and self._leaves_request_slots(worker, kind)
        ]
        if not candidates:
            return None
        return max(
            candidates,
            key=lambda worker: (worker.free_slots, -worker.used.cpu),
        )

    def _leaves_request_slots(self, worker: Worker, kind: WorkKind) -> bool:
        if kind is WorkKind.REQUEST or worker.capacity is None:
            return True
        task_slots = worker.capacity.slots - self._request_slots
        return worker.task_count < task_slots
