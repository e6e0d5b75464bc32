"""The extensions of leases by one process."""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawaystep.entry.clock import Clock

# Longer than a lease, so that older extensions do not matter.
_MEMORY_S = 10.0


class LeaseExtensions:
    """Remembers when each worker's lease was last extended by this process.

    A new leader asks each process for them, and waits no longer than the
    leases last that were really given.
    """

    def __init__(self, clock: Clock) -> None:
        """Create the state of a process that has just started.

        :param clock: clock of the process, which counts suspended time
        """
        self._clock = clock
        self._started_at = clock.now()
        self._open_calls: Counter[str] = Counter()
        self._ended_at: dict[str, float] = {}

    @contextmanager
    def call(self, worker_id: str) -> Iterator[None]:
        """Enclose a call that extends the lease of a worker.

        The deadline of the lease is computed at any time during the call.
        """
        self._open_calls[worker_id] += 1
        try:
            yield
        finally:
            self._open_calls[worker_id] -= 1
            if not self._open_calls[worker_id]:
                del self._open_calls[worker_id]
            self._ended_at[worker_id] = self._clock.now()

    def process_age_s(self, now: float) -> float:
        """Return the seconds since the process started.

        :param now: current time in seconds of the clock
        """
        return now - self._started_at

    def ages_s(self, now: float) -> dict[str, float]:
        """Return the seconds since the last extension by id of the worker.

        Workers whose leases must have ended are left out.

        :param now: current time in seconds of the clock
        """
        self._ended_at = {
            worker_id: ended_at
            for worker_id, ended_at in self._ended_at.items()
            if now - ended_at < _MEMORY_S
        }
        ages = {
            worker_id: now - ended_at
            for worker_id, ended_at in self._ended_at.items()
        }
        ages.update(dict.fromkeys(self._open_calls, 0.0))
        return ages
