"""Loopback server that simulates an entry."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from tools.port_allocator import LOOPBACK_HOST

if TYPE_CHECKING:
    from typing import Self

_RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nCarawaystep-Outcome: answered\r\n"
    b"Carawaystep-Request-Id: r1\r\nConnection: close\r\n"
)


class ScriptedEntry:
    """Reads one request from each connection and sends a fixed response.

    :param body: body of the response, None to close the connection without a
        response
    :param missing_bytes: bytes by which Content-Length exceeds the body
    """

    def __init__(self, body: bytes | None, missing_bytes: int = 0) -> None:
        """Create a server that does not listen yet."""
        self._body = body
        self._missing_bytes = missing_bytes
        self._server: asyncio.Server | None = None
        self._keys: list[str | None] = []
        self._url = ""

    @property
    def keys(self) -> tuple[str | None, ...]:
        """Return the Idempotency-Key of each request received."""
        return tuple(self._keys)

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self._url

    async def __aenter__(self) -> Self:
        """Start the server on a free loopback port."""
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK_HOST, 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self._url = f"http://{LOOPBACK_HOST}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop the server."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        headers = dict(
            line.split(": ", 1) for line in head.splitlines()[1:] if line
        )
        await reader.readexactly(int(headers.get("content-length", 0)))
        self._keys.append(headers.get("idempotency-key"))
        if self._body is not None:
            length = len(self._body) + self._missing_bytes
            writer.write(_RESPONSE_HEAD)
            writer.write(b"Content-Length: %d\r\n\r\n" % length)
            writer.write(self._body)
        with suppress(OSError):
            await writer.drain()
            writer.close()
            await writer.wait_closed()
