"""Fault action that cancels many jobs at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.prove.fault_action import FaultAction

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from tools.job_driver import JobDriver
    from tools.prove.fault_record import FaultRecord

_CANCELLED_SHARE = 0.5


class BulkCancellation(FaultAction):
    """Cancels half of the open jobs of each driver."""

    def __init__(self, drivers: Sequence[JobDriver], random: Random) -> None:
        """Create the action.

        :param drivers: drivers that submitted the jobs
        :param random: selects the jobs
        """
        self._drivers = drivers
        self._random = random
        self._accepted_count = 0

    @property
    def accepted_count(self) -> int:
        """Return the number of cancellations that entries accepted."""
        return self._accepted_count

    async def run(self, record: FaultRecord) -> None:
        """Cancel a random sample of the open jobs."""
        for driver in self._drivers:
            jobs = driver.open_jobs
            chosen = self._random.sample(
                jobs, int(len(jobs) * _CANCELLED_SHARE)
            )
            self._accepted_count += await driver.cancel(chosen)
