"""aiosonic connection that sends each request at most once."""

from __future__ import annotations

import asyncio
from typing import Any

from aiosonic.connection import Connection
from aiosonic.exceptions import ConnectionDisconnected

# Event loop iterations in which a read is started, receives data that the
# kernel has buffered, and completes.
_PROBE_ITERATIONS = 3


class HttpConnection(Connection):  # type: ignore[misc]
    """Records whether a request was written and prevents its repetition.

    aiosonic resends GET, PUT and DELETE requests when a kept-alive
    connection closes before the response, and treats the end of the stream
    as the end of the headers. This class prevents both.
    """

    def __init__(self, pool: Any) -> None:
        """Create a connection that is not open yet."""
        super().__init__(pool)
        self._maybe_sent = False
        self._broken = False
        self._was_opened = False
        # Whether a check of this connection has succeeded.
        self.checked = False

    @property
    def maybe_sent(self) -> bool:
        """Return whether bytes of the current request may have been sent."""
        return self._maybe_sent

    def begin_request(self) -> None:
        """Allow the next request to be written."""
        self._maybe_sent = False

    async def connect(self, *args: Any, **kwargs: Any) -> None:
        """Open the connection, which is not opened a second time.

        :raises ConnectionDisconnected: the request was already written, so
            that a new connection would repeat it; or an open connection was
            closed, and a new one may lead to another process
        """
        if self._maybe_sent or self._broken:
            raise ConnectionDisconnected("connection closed without response")
        if self._was_opened and not self._is_open:
            raise ConnectionDisconnected("idle connection closed")
        await super().connect(*args, **kwargs)
        self._was_opened = True

    @property
    def _is_open(self) -> bool:
        return self.writer is not None and not self.writer.is_closing()

    def write(self, data: bytes) -> None:
        """Write data, after recording that bytes may have been sent."""
        if self._broken:
            raise ConnectionDisconnected("connection is closed or has failed")
        self._maybe_sent = True
        super().write(data)

    async def readline(self) -> bytes:
        """Read a complete line.

        :raises ConnectionDisconnected: the stream ended within the line
        """
        line = await self._read_or_mark_broken(super().readline())
        return self._require_line_end(line)

    async def readuntil(self, separator: bytes = b"\n") -> bytes:
        """Read up to the separator.

        :raises IncompleteReadError: the stream ended before the separator
        """
        return await self._read_or_mark_broken(super().readuntil(separator))

    async def has_no_pending_input(self) -> bool:
        """Return whether an idle connection is open and has no unread data.

        If the server has closed the connection, detecting it before the
        request is written avoids an unknown outcome.
        """
        if self.reader is None:
            return not self._broken and not self._was_opened
        probe = asyncio.ensure_future(self.reader.read(1))
        try:
            for _ in range(_PROBE_ITERATIONS):
                await asyncio.sleep(0)
            return not probe.done()
        finally:
            probe.cancel()
            await asyncio.gather(probe, return_exceptions=True)

    def close_permanently(self) -> None:
        """Close the connection so that it cannot be opened again."""
        self._broken = True
        self.close()

    def _require_line_end(self, line: bytes) -> bytes:
        if line.endswith(b"\n"):
            return line
        self._broken = True
        raise ConnectionDisconnected("connection closed within the headers")

    async def _read_or_mark_broken(self, read: Any) -> bytes:
        try:
            data: bytes = await read
        except BaseException:
            self._broken = True
            raise
        return data
