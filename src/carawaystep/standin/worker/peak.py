"""Highest use of one limit."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Peak:
    """Present and highest use of one limit.

    :param limit: what the worker holds
    :param used: present use
    :param highest: highest use so far
    """

    limit: float
    used: float = 0
    highest: float = 0

    def add(self, amount: float) -> None:
        """Change the present use; a negative amount gives back."""
        self.used += amount
        self.highest = max(self.highest, self.used)
