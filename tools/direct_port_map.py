"""Connections without anything between the processes."""

from __future__ import annotations

from tools.port_map import PortMap


class DirectPortMap(PortMap):
    """Every process is reached at the port that it listens on."""

    def platform_port(self, entry: str, port: int) -> int:
        """Return the platform's own port."""
        return port

    def worker_port(self, worker: str, port: int) -> int:
        """Return the worker's own port."""
        return port

    def peer_port(self, entry: str, port: int) -> int:
        """Return the entry's own port."""
        return port

    async def open(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""
