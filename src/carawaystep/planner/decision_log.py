"""Port to the log of decisions."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod


class DecisionLog(ABC):
    """Takes one line for each decision."""

    @abstractmethod
    def line(
        self, event: str, subject: str, **inputs: str | int | float
    ) -> None:
        """Record a decision without waiting.

        :param event: such as ``task.placed``
        :param subject: id that the decision is about
        :param inputs: values that decided it, and the outcome
        """
