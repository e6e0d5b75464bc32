"""Connection that sends a request at most once."""

from __future__ import annotations

import asyncio
from typing import Any

from aiosonic.connection import Connection
from aiosonic.exceptions import ConnectionDisconnected

# Passes of the event loop that start a read, take what the kernel holds, and
# wake the read.
_PROBE_PASSES = 3


class HttpConnection(Connection):  # type: ignore[misc]
    """Connection of one channel; tells whether a request was written.

    aiosonic repeats GET, PUT and DELETE when a kept-alive connection closes
    before the answer, and takes the end of the stream for the end of the
    headers. Both are prevented here.
    """

    def __init__(self, pool: Any) -> None:
        """Open nothing yet."""
        super().__init__(pool)
        self._sent = False
        self._broken = False

    @property
    def sent(self) -> bool:
        """True when a byte of the current request may have left."""
        return self._sent

    def begin(self) -> None:
        """Allow one request."""
        self._sent = False

    async def connect(self, *args: Any, **kwargs: Any) -> None:
        """Open the connection unless the request was already written."""
        if self._sent or self._broken:
            raise ConnectionDisconnected("connection closed after the request")
        await super().connect(*args, **kwargs)

    def write(self, data: bytes) -> None:
        """Write, and note first that bytes may have left."""
        if self._broken:
            raise ConnectionDisconnected("connection failed earlier")
        self._sent = True
        super().write(data)

    async def readline(self) -> bytes:
        """Read a whole line; the end of the stream is a failure."""
        line = await self._guarded(super().readline())
        return self._whole(line)

    async def readuntil(self, separator: bytes = b"\n") -> bytes:
        """Read up to the separator; the end of the stream is a failure."""
        return await self._guarded(super().readuntil(separator))

    async def is_quiet(self) -> bool:
        """Tell whether an idle connection is open and has no stray bytes.

        A closed connection that is noticed before the request is written
        spares the caller an unknown result.
        """
        if self.reader is None:
            return not self._broken
        probe = asyncio.ensure_future(self.reader.read(1))
        try:
            for _ in range(_PROBE_PASSES):
                await asyncio.sleep(0)
            return not probe.done()
        finally:
            probe.cancel()
            await asyncio.gather(probe, return_exceptions=True)

    def discard(self) -> None:
        """Close the connection for good."""
        self._broken = True
        self.close()

    def _whole(self, line: bytes) -> bytes:
        if line.endswith(b"\n"):
            return line
        self._broken = True
        raise ConnectionDisconnected("connection closed within the headers")

    async def _guarded(self, read: Any) -> bytes:
        try:
            data: bytes = await read
        except BaseException:
            self._broken = True
            raise
        return data
