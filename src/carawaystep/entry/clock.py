"""Port to the system clocks."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod


class Clock(ABC):
    """Source of the current time.

    The aggregates never read the clock; their callers pass the time as a
    parameter.
    """

    @abstractmethod
    def now(self) -> float:
        """Return monotonic time in seconds."""

    @abstractmethod
    def wall_now(self) -> float:
        """Return wall-clock time in seconds since the epoch."""
