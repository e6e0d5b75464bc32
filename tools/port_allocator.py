"""Free loopback ports for the processes of one run."""

from __future__ import annotations

from socket import AF_INET
from socket import SOCK_STREAM
from socket import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

LOOPBACK_HOST = "127.0.0.1"


class PortAllocator:
    """Reserves ports by keeping them bound until their process starts.

    A bound port is not given to any other socket of the machine, so another
    process can take it only between ``release`` and the moment at which the
    started process binds it.
    """

    def __init__(self) -> None:
        """Create an allocator without reservations."""
        self._held: dict[int, socket] = {}
        self._used: set[int] = set()

    def reserve(self) -> int:
        """Return a port that this allocator has never returned before."""
        while True:
            holder = socket(AF_INET, SOCK_STREAM)
            holder.bind((LOOPBACK_HOST, 0))
            port = int(holder.getsockname()[1])
            if port not in self._used:
                self._used.add(port)
                self._held[port] = holder
                return port
            holder.close()

    def release(self, ports: Iterable[int]) -> None:
        """Give ports free for the process that starts next."""
        for port in ports:
            holder = self._held.pop(port, None)
            if holder is not None:
                holder.close()

    def close(self) -> None:
        """Give all ports free."""
        self.release(tuple(self._held))
