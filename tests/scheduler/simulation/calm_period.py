"""Time without faults."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator


class CalmPeriod:
    """Tells for how long there has been no fault."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create a period that begins at time 0.

        :param clock: returns the current time in seconds
        """
        self._clock = clock
        self._active_faults = 0
        self._since = 0.0

    @contextmanager
    def fault(self) -> Iterator[None]:
        """Count a fault for the time of the context."""
        self._active_faults += 1
        try:
            yield
        finally:
            self._active_faults -= 1
            self._since = self._clock()

    def calm_s(self, now: float) -> float:
        """Return the seconds since the last fault ended, 0 during one."""
        return 0.0 if self._active_faults else now - self._since
