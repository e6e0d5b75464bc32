"""Ports at which the processes of a deployment connect to each other."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod


class PortMap(ABC):
    """Maps the port that a process listens on to the one its clients use.

    The two differ when a relay runs between the processes.
    """

    @abstractmethod
    def platform_port(self, entry: str, port: int) -> int:
        """Return the port at which an entry connects to the platform."""

    @abstractmethod
    def worker_port(self, worker: str, port: int) -> int:
        """Return the port at which entries connect to a worker."""

    @abstractmethod
    def peer_port(self, entry: str, port: int) -> int:
        """Return the port at which other entries connect to an entry."""

    @abstractmethod
    async def open(self) -> None:
        """Accept connections at all ports returned so far."""

    @abstractmethod
    async def close(self) -> None:
        """Stop accepting and close all connections."""
