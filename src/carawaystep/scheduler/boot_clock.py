"""Clock that counts while the machine is suspended."""

from __future__ import annotations

import time

from carawaystep.entry.clock import Clock


class BootClock(Clock):
    """Reads the boot-time clock; grants and leases are measured on it."""

    def now(self) -> float:
        """Return seconds since the boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_now(self) -> float:
        """Return wall-clock time in seconds since the epoch."""
        return time.time()
