"""Port to the clocks of the machine."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod


class Clock(ABC):
    """Source of the present time, read only outside decisions."""

    @abstractmethod
    def now(self) -> float:
        """Return monotonic time in seconds."""

    @abstractmethod
    def wall_now(self) -> float:
        """Return wall-clock time in seconds since the epoch."""
