"""Clock of a fake fleet."""

from __future__ import annotations

from carawaystep.entry.loop_clock import LoopClock

_EPOCH_S = 1_700_000_000.0


class FakeClock(LoopClock):
    """Derives wall-clock time from the loop, so that runs repeat exactly."""

    def wall_now(self) -> float:
        """Return wall-clock time in seconds since the epoch."""
        return _EPOCH_S + self.now()
