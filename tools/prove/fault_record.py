"""A fault that was injected."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tools.prove.fault import Fault


@dataclass(slots=True, eq=False)
class FaultRecord:
    """Start and end of an injected fault.

    :param fault: the fault
    :param started_at: start, seconds of the monotonic clock
    :param ended_at: end on the same clock, None while it lasts
    """

    fault: Fault
    started_at: float
    ended_at: float | None = None

    @property
    def end_or_infinity(self) -> float:
        """Return the end of the fault, infinity while it lasts."""
        return inf if self.ended_at is None else self.ended_at

    def format_line(self, at: float) -> str:
        """Return a line with times in seconds relative to a given time.

        :param at: that time, seconds of the monotonic clock
        """
        until = "still active"
        if self.ended_at is not None:
            until = f"until {self.ended_at - at:+.1f} s"
        return (
            f"{self.started_at - at:+.1f} s {self.fault.kind}"
            f" {self.fault.target} {self.fault.magnitude:g} {until}"
        )
