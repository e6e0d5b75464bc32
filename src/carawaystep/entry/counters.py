"""Port to the counters of a process."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod


class Counters(ABC):
    """Counts frequent events that are not logged one by one."""

    @abstractmethod
    def count(self, name: str, n: int = 1) -> None:
        """Increment a counter.

        :param name: name without prefix, such as ``requests_forwarded``
        :param n: increment
        """

    @abstractmethod
    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
