"""Port to the decision log."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod


class DecisionLog(ABC):
    """Log with one structured line for each decision."""

    @abstractmethod
    def line(
        self, event: str, subject: str, **inputs: str | int | float
    ) -> None:
        """Write one line without blocking.

        :param event: name of the event, such as ``task.placed``
        :param subject: id of the task, workflow or worker concerned
        :param inputs: fields of the line: the values that led to the
            decision, and its outcome
        """
