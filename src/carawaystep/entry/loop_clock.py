"""Clock of the running event loop."""

from __future__ import annotations

import asyncio
import time

from carawaystep.entry.clock import Clock


class LoopClock(Clock):
    """Reads the monotonic clock of the event loop.

    It is virtual in tests, which run loops with virtual time.
    """

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall_now(self) -> float:
        """Return wall-clock time in seconds since the epoch."""
        return time.time()
