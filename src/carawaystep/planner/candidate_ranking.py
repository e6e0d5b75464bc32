"""Workers for the tasks of one step, best first."""

from __future__ import annotations

from heapq import heapify
from heapq import heappop
from heapq import heappush
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable

    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.planner.task_placement_policy import Rank


class CandidateRanking:
    """Ranks the workers for the tasks of one step during one pass.

    A placement changes the rank of the worker that gets the task and of no
    other, so that each worker is ranked once and again after each of its
    placements. Workers of equal rank keep their order.
    """

    def __init__(
        self,
        workers: Iterable[TrackedWorker],
        rank: Callable[[TrackedWorker], Rank | None],
        rank_again: Callable[[TrackedWorker], Rank | None],
    ) -> None:
        """Rank the workers.

        :param rank: returns the rank of a worker, lower is better; None if
            it does not suit the step
        :param rank_again: the same for a worker that has got a task
        """
        self._rank_again = rank_again
        self._entries: list[tuple[Rank, int, TrackedWorker]] = []
        self._positions: dict[WorkerKey, int] = {}
        for position, worker in enumerate(workers):
            value = rank(worker)
            if value is not None:
                self._positions[worker.key] = position
                self._entries.append((value, position, worker))
        heapify(self._entries)

    @property
    def workers(self) -> list[TrackedWorker]:
        """Return the workers that are left, in no certain order."""
        return [worker for _, _, worker in self._entries]

    def __bool__(self) -> bool:
        """Tell whether a worker is left."""
        return bool(self._entries)

    def take(self, avoided: Collection[WorkerKey]) -> TrackedWorker | None:
        """Remove and return the best worker.

        :param avoided: workers to pass over
        :returns: the worker, None if there is none; it joins the ranking
            again with :meth:`put_back`
        """
        passed_over = []
        taken = None
        while taken is None and self._entries:
            entry = heappop(self._entries)
            if entry[2].key in avoided:
                passed_over.append(entry)
            else:
                taken = entry[2]
        for entry in passed_over:
            heappush(self._entries, entry)
        return taken

    def put_back(self, worker: TrackedWorker) -> None:
        """Rank a worker again that was taken."""
        value = self._rank_again(worker)
        if value is not None:
            position = self._positions[worker.key]
            heappush(self._entries, (value, position, worker))
