"""ZeroMQ socket in an event loop, with few system calls for a message."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from zmq import Again
from zmq import FD
from zmq import NOBLOCK
from zmq import ZMQError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from zmq import Socket

# Messages that were read and not taken; more stay in the queue of the socket.
_MAX_UNTAKEN_MESSAGES = 256


class MessageSocket:
    """Sends without waiting and reads all messages that are there at once.

    The file descriptor of a ZeroMQ socket signals changes only, and any call
    may consume a signal. So the socket is read until it is empty, also after
    sends. ``zmq.asyncio`` asks the socket for its state several times for
    each message, which took half of a leader's processor time.
    """

    def __init__(self, socket: Socket[bytes]) -> None:
        """Watch a socket within a running event loop.

        :param socket: connected or bound socket, which this object closes
        """
        self._socket = socket
        self._loop = asyncio.get_running_loop()
        self._descriptor = int(socket.getsockopt(FD))
        self._messages: deque[list[bytes]] = deque()
        self._changed = asyncio.Event()
        self._read_scheduled = False
        self._closed = False
        self._loop.add_reader(self._descriptor, self._read)
        # The signal of a message that is already there may be gone.
        self._schedule_read()

    def send(self, frames: Sequence[bytes]) -> bool:
        """Queue a message; False when it cannot be queued at once."""
        if self._closed:
            return False
        try:
            self._socket.send_multipart(frames, NOBLOCK)
        except ZMQError:
            return False
        finally:
            self._schedule_read()
        return True

    async def receive(self) -> list[bytes] | None:
        """Wait for the next message.

        :returns: its frames, None when the socket was closed
        """
        while not self._messages:
            if self._closed:
                return None
            self._changed.clear()
            await self._changed.wait()
        message = self._messages.popleft()
        if len(self._messages) == _MAX_UNTAKEN_MESSAGES - 1:
            self._schedule_read()
        return message

    def close(self) -> None:
        """Close the socket; :meth:`receive` returns what was read before."""
        if self._closed:
            return
        self._closed = True
        self._loop.remove_reader(self._descriptor)
        self._socket.close()
        self._changed.set()

    def _receive_frames(self) -> list[bytes]:
        """Return the frames of the next message.

        :raises Again: there is none
        """
        return self._socket.recv_multipart(NOBLOCK)

    def _schedule_read(self) -> None:
        if not self._read_scheduled and not self._closed:
            self._read_scheduled = True
            self._loop.call_soon(self._read)

    def _read(self) -> None:
        self._read_scheduled = False
        while not self._closed and len(self._messages) < _MAX_UNTAKEN_MESSAGES:
            try:
                self._messages.append(self._receive_frames())
            except Again:
                break
        if self._messages:
            self._changed.set()
