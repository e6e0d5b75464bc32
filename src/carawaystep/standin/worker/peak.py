"""Current and peak use of a limited resource."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Peak:
    """Current and highest use of a limited resource.

    :param limit: capacity of the worker
    :param used: current use
    :param highest: highest use so far
    """

    limit: float
    used: float = 0
    highest: float = 0

    def add(self, amount: float) -> None:
        """Increase the current use; a negative amount decreases it."""
        self.used += amount
        self.highest = max(self.highest, self.used)
