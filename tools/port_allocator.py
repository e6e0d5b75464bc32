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

    The system assigns a bound port to no other socket, so that another process
    can bind it only between ``release`` and the bind of the started process.
    """

    def __init__(self) -> None:
        """Create an allocator without reservations."""
        self._bound_sockets: dict[int, socket] = {}
        self._returned_ports: set[int] = set()

    def reserve(self) -> int:
        """Return a port that this allocator has never returned before."""
        while True:
            bound_socket = socket(AF_INET, SOCK_STREAM)
            bound_socket.bind((LOOPBACK_HOST, 0))
            port = int(bound_socket.getsockname()[1])
            if port not in self._returned_ports:
                self._returned_ports.add(port)
                self._bound_sockets[port] = bound_socket
                return port
            bound_socket.close()

    def release(self, ports: Iterable[int]) -> None:
        """Unbind ports, so that a process can bind them next."""
        for port in ports:
            bound_socket = self._bound_sockets.pop(port, None)
            if bound_socket is not None:
                bound_socket.close()

    def close(self) -> None:
        """Unbind all ports."""
        self.release(tuple(self._bound_sockets))
