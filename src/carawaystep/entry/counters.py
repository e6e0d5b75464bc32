"""Port to the counters of a process."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod


class Counters(ABC):
    """Counts what happens, in place of a log line for each."""

    @abstractmethod
    def count(self, name: str, n: int = 1) -> None:
        """Raise a counter.

        :param name: name without prefix, such as ``requests_forwarded``
        :param n: by how much
        """

    @abstractmethod
    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
