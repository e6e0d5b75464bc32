"""Cancels many jobs at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.prove.fault_action import FaultAction

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from tools.job_driver import JobDriver
    from tools.prove.fault_record import FaultRecord

_SHARE = 0.5


class BulkCancellation(FaultAction):
    """Cancels half of the open jobs of each driver."""

    def __init__(self, drivers: Sequence[JobDriver], random: Random) -> None:
        """Create the action.

        :param drivers: know the open jobs
        :param random: chooses the jobs
        """
        self._drivers = drivers
        self._random = random
        self._cancelled = 0

    @property
    def cancelled(self) -> int:
        """Return the number of cancellations that entries accepted."""
        return self._cancelled

    async def run(self, record: FaultRecord) -> None:
        """Cancel the jobs."""
        for driver in self._drivers:
            jobs = driver.open_jobs
            chosen = self._random.sample(jobs, int(len(jobs) * _SHARE))
            self._cancelled += await driver.cancel(chosen)
