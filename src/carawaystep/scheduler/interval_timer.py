"""Waits at an interval and measures how late the event loop runs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.entry.clock import Clock

# Shorter delays are usual, and no message waits long because of them.
LATE_AFTER_S = 0.2


class IntervalTimer:
    """Interval of a task that judges the silence of others.

    When the event loop was busy or the process was paused, messages that have
    arrived are not read yet, so that nobody may count as silent for that time.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a timer.

        :param clock: clock of the process
        """
        self._clock = clock

    async def wait(self, seconds: float) -> float:
        """Wait for an interval.

        :param seconds: length of the interval
        :returns: seconds by which the wait took longer, 0 if it was on time
        """
        began_at = self._clock.now()
        await asyncio.sleep(seconds)
        late_s = self._clock.now() - began_at - seconds
        return late_s if late_s > LATE_AFTER_S else 0.0
