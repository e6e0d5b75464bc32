"""Port map without relays between the processes."""

from __future__ import annotations

from tools.port_map import PortMap


class DirectPortMap(PortMap):
    """Connects clients directly to the port that a process listens on."""

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
        """Do nothing; there is no relay to start."""

    async def close(self) -> None:
        """Do nothing; there is no relay to stop."""
