"""Clock that keeps counting while the machine is suspended."""

from __future__ import annotations

import time

from carawaystep.entry.clock import Clock


class BootClock(Clock):
    """Clock for grants and leases.

    These must also run out while the machine is suspended.
    """

    def now(self) -> float:
        """Return seconds since boot, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_now(self) -> float:
        """Return wall-clock time in seconds since the epoch."""
        return time.time()
