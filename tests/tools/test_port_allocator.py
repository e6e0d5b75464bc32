"""Tests of reserved ports."""

from __future__ import annotations

from contextlib import closing
from contextlib import ExitStack
import socket

from testtools import TestCase

from tools.port_allocator import LOOPBACK_HOST
from tools.port_allocator import PortAllocator

_PORTS = 200


class PortAllocatorTest(TestCase):
    """Who can bind a reserved port and who cannot."""

    def setUp(self) -> None:
        """Create an allocator that is closed after the test."""
        super().setUp()
        self.ports = PortAllocator()
        self.addCleanup(self.ports.close)

    def test_no_socket_can_bind_before_the_port_is_handed_over(self) -> None:
        """Guards against a server that chose the port at an earlier time.

        Such a server sets SO_REUSEADDR, which lets it bind a port that
        another socket with SO_REUSEADDR has bound.
        """
        port = self.ports.reserve()
        with self.assertRaises(OSError):
            socket.create_server((LOOPBACK_HOST, port))

    def test_reserved_port_is_not_assigned_again(self) -> None:
        """Guards against the assignment of one port to two servers."""
        reserved = {self.ports.reserve() for _ in range(_PORTS)}
        self.assertEqual(_PORTS, len(reserved))
        self.ports.hand_over(reserved)
        with ExitStack() as stack:
            for _ in range(_PORTS):
                server = socket.create_server((LOOPBACK_HOST, 0))
                stack.enter_context(server)
                self.assertNotIn(server.getsockname()[1], reserved)

    def test_connections_are_refused_until_a_server_listens(self) -> None:
        """Guards against callers that wait for a server that is not there."""
        port = self.ports.reserve()
        address = (LOOPBACK_HOST, port)
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(address)
        self.ports.hand_over((port,))
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(address)

    def test_restarted_server_gets_its_port_again(self) -> None:
        """Guards against a port that is lost between two starts."""
        port = self.ports.reserve()
        self.ports.hand_over((port,))
        address = (LOOPBACK_HOST, port)
        for _ in range(2):
            with (
                socket.create_server(address) as server,
                closing(socket.create_connection(address)),
            ):
                server.accept()[0].close()
                with self.assertRaises(OSError):
                    socket.create_server(address)
