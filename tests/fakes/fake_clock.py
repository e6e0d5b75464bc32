"""Deterministic clock for tests."""

from __future__ import annotations

from carawaystep.entry.loop_clock import LoopClock

_START_WALL_TIME_S = 1_700_000_000.0


class FakeClock(LoopClock):
    """Derives wall-clock time from the event loop's clock.

    With the virtual time of the loop, runs with one seed are identical.
    """

    def wall_now(self) -> float:
        """Return the wall-clock time in seconds since the Unix epoch."""
        return _START_WALL_TIME_S + self.now()
