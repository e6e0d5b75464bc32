"""Reserved loopback ports for the servers of one run."""

from __future__ import annotations

from socket import AF_INET
from socket import SO_REUSEADDR
from socket import SOCK_STREAM
from socket import socket
from socket import SOL_SOCKET
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

LOOPBACK_HOST = "127.0.0.1"


class PortAllocator:
    """Reserves ports by keeping a socket bound to each of them.

    The system assigns a reserved port to no other socket and to no outgoing
    connection. No socket can bind it by its number before ``hand_over``.
    Connections are refused until a server listens.
    """

    def __init__(self) -> None:
        """Create an allocator without reservations."""
        self._bound_sockets: dict[int, socket] = {}

    def reserve(self) -> int:
        """Return a port that stays reserved until ``close``."""
        bound_socket = socket(AF_INET, SOCK_STREAM)
        bound_socket.bind((LOOPBACK_HOST, 0))
        port = int(bound_socket.getsockname()[1])
        self._bound_sockets[port] = bound_socket
        return port

    def hand_over(self, ports: Iterable[int]) -> None:
        """Allow a server with SO_REUSEADDR to bind ports.

        They stay reserved, so that the server can bind them again after a
        restart.
        """
        for port in ports:
            self._bound_sockets[port].setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)

    def close(self) -> None:
        """End all reservations."""
        for bound_socket in self._bound_sockets.values():
            bound_socket.close()
        self._bound_sockets.clear()
