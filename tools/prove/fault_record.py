"""A fault that took effect."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tools.prove.fault import Fault


@dataclass(slots=True, eq=False)
class FaultRecord:
    """When a fault began and ended.

    :param fault: the fault
    :param begun_at: start, seconds of the monotonic clock
    :param ended_at: end on the same clock, None while it lasts
    """

    fault: Fault
    begun_at: float
    ended_at: float | None = None

    @property
    def ended_or_never(self) -> float:
        """Return its end, infinity while it lasts."""
        return inf if self.ended_at is None else self.ended_at

    def line(self, at: float) -> str:
        """Return a line of a history as seen at a time."""
        until = "still on"
        if self.ended_at is not None:
            until = f"until {self.ended_at - at:+.1f} s"
        return (
            f"{self.begun_at - at:+.1f} s {self.fault.kind}"
            f" {self.fault.target} {self.fault.amount:g} {until}"
        )
