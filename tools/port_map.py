"""Addresses under which the processes of a deployment reach each other."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod


class PortMap(ABC):
    """Gives the port to connect to for a port that a process listens on."""

    @abstractmethod
    def platform_port(self, entry: str, port: int) -> int:
        """Return where an entry reaches the platform."""

    @abstractmethod
    def worker_port(self, worker: str, port: int) -> int:
        """Return where entries reach a worker."""

    @abstractmethod
    def peer_port(self, entry: str, port: int) -> int:
        """Return where other entries reach an entry."""

    @abstractmethod
    async def open(self) -> None:
        """Make all ports given so far usable."""

    @abstractmethod
    async def close(self) -> None:
        """End all connections."""
