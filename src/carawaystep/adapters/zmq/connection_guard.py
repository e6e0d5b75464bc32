"""Closes connections of strangers to a ZeroMQ socket."""

from __future__ import annotations

import asyncio
import contextlib
from errno import EMFILE
import os
from socket import SHUT_RDWR
from socket import socket as TcpSocket
from typing import TYPE_CHECKING

from zmq import Event
from zmq.utils.monitor import parse_monitor_message

from carawaystep.adapters.zmq.message_socket import MessageSocket
from carawaystep.intake.stranger_limit import RECOGNITION_TIMEOUT_S
from carawaystep.intake.stranger_limit import StrangerLimit

if TYPE_CHECKING:
    from zmq import Socket

# A process without a free descriptor tries again to end a connection.
_RETRY_S = 0.25
_EVENTS = Event.ACCEPTED | Event.DISCONNECTED | Event.CLOSED


class ConnectionGuard:
    """Follows the connections of a bound socket by its monitor.

    libzmq limits the size of a message, but neither the number of connections
    nor the parts of an unfinished message.
    """

    def __init__(self, socket: Socket[bytes]) -> None:
        """Watch a socket within a running event loop.

        :param socket: socket that is not bound yet
        """
        self._socket = socket
        self._limit = StrangerLimit()
        self._loop = asyncio.get_running_loop()
        self._monitor = MessageSocket(socket.get_monitor_socket(_EVENTS))
        self._task = self._loop.create_task(self._follow())
        self._port = 0

    @property
    def has_strangers(self) -> bool:
        """Tell whether a connection has not been recognized yet."""
        return self._limit.has_strangers

    def set_port(self, port: int) -> None:
        """Set the TCP port to which the socket is bound."""
        self._port = port

    def recognize(self, descriptor: int) -> None:
        """Record that a message has arrived on a connection."""
        self._limit.recognize(descriptor)

    def close(self) -> None:
        """Stop watching; the socket must still be open."""
        self._task.cancel()
        self._socket.disable_monitor()
        self._monitor.close()

    async def _follow(self) -> None:
        while True:
            frames = await self._monitor.receive()
            if frames is None:
                return
            event = parse_monitor_message(frames)
            if event["event"] == Event.ACCEPTED:
                self._accept(int(event["value"]))
            else:
                self._limit.end(int(event["value"]))

    def _accept(self, descriptor: int) -> None:
        oldest = self._limit.accept(descriptor, self._loop.time())
        if oldest is not None:
            self._shut_down(oldest)
        self._loop.call_later(RECOGNITION_TIMEOUT_S, self._expire)

    def _expire(self) -> None:
        for descriptor in self._limit.expire(self._loop.time()):
            self._shut_down(descriptor)

    def _shut_down(self, descriptor: int) -> None:
        """End a connection, which libzmq then closes.

        libzmq may have closed the descriptor meanwhile, and it may belong to
        something else: only connections to the port are shut down.
        """
        try:
            duplicate = os.dup(descriptor)
        except OSError as error:
            if error.errno == EMFILE:
                self._loop.call_later(_RETRY_S, self._shut_down, descriptor)
            return
        with (
            contextlib.suppress(OSError),
            TcpSocket(fileno=duplicate) as connection,
        ):
            if connection.getsockname()[1] == self._port:
                connection.shutdown(SHUT_RDWR)
