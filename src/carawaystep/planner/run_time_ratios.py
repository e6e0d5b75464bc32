"""Run times of ended tasks compared with the declared ones, by queue."""

from __future__ import annotations

from collections import deque

# The queues with the latest ends are kept.
MAX_QUEUES = 64
_RUNS_PER_QUEUE = 64
# Of fewer runs, nothing is certain about the others of a queue.
_MIN_RUNS = 8
_TYPICAL_QUANTILE = 0.25


class RunTimeRatios:
    """Ratios of real to declared run times of the latest runs of each queue.

    A run is measured from its placement, and shares the CPU of its worker,
    so that a ratio is too high rather than too low. Ratios above 1 therefore
    count as 1 where a lower bound is wanted.
    """

    def __init__(self) -> None:
        """Create a record without runs."""
        self._ratios: dict[str, deque[float]] = {}
        # Sorted when first asked for after a run.
        self._sorted: dict[str, list[float]] = {}

    def record(self, queue: str, declared_s: float, run_s: float) -> None:
        """Record a run that was done.

        :param declared_s: declared run time in seconds; a run without one is
            ignored
        :param run_s: seconds from its placement to its reported end
        """
        if declared_s <= 0:
            return
        ratios = self._ratios.pop(queue, None)
        if ratios is None:
            ratios = deque(maxlen=_RUNS_PER_QUEUE)
        ratios.append(run_s / declared_s)
        self._ratios[queue] = ratios
        self._sorted.pop(queue, None)
        if len(self._ratios) > MAX_QUEUES:
            oldest = next(iter(self._ratios))
            del self._ratios[oldest]
            self._sorted.pop(oldest, None)

    def shortest(self, queue: str) -> float:
        """Return the lowest ratio of a queue, at most 1; 0 if unknown."""
        ratios = self._known(queue)
        return min(ratios[0], 1.0) if ratios else 0.0

    def typical(self, queue: str) -> float:
        """Return a ratio that the mean of many runs surely exceeds.

        :returns: the lower quartile, at most 1; 0 if unknown
        """
        ratios = self._known(queue)
        if not ratios:
            return 0.0
        return min(ratios[int(_TYPICAL_QUANTILE * len(ratios))], 1.0)

    def all_shortest(self) -> dict[str, float]:
        """Return the lowest ratio of each queue for which it is known."""
        return {
            queue: self.shortest(queue)
            for queue, ratios in self._ratios.items()
            if len(ratios) >= _MIN_RUNS
        }

    def _known(self, queue: str) -> list[float]:
        """Return the ratios in ascending order, none if there are few."""
        ratios = self._ratios.get(queue, ())
        if len(ratios) < _MIN_RUNS:
            return []
        if queue not in self._sorted:
            self._sorted[queue] = sorted(ratios)
        return self._sorted[queue]
