"""Clients that misuse the addresses of a process."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
import socket
from typing import TYPE_CHECKING

from tools.port_allocator import LOOPBACK_HOST

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_RECONNECT_INTERVAL_S = 0.5
_READ_BYTES = 4096
_SEND_BUFFER_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Script:
    """What each client of a crowd sends.

    :param parts: sent one after the other
    :param pause_s: seconds between two parts
    :param repeat: whether the last part is sent again and again
    :param reads: whether the client reads what the process sends
    """

    parts: tuple[bytes, ...]
    pause_s: float = 0.0
    repeat: bool = False
    reads: bool = True


class Crowd:
    """Connections that run one script; each is opened again when it ends."""

    def __init__(self, script: Script, port: int, size: int) -> None:
        """Create a crowd without connections.

        :param script: what each client sends
        :param port: TCP port on the loopback address
        :param size: number of clients
        """
        self._script = script
        self._port = port
        self._size = size

    @contextlib.asynccontextmanager
    async def attack(self) -> AsyncIterator[None]:
        """Keep all clients busy until the context ends."""
        clients = [
            asyncio.create_task(self._run_client()) for _ in range(self._size)
        ]
        try:
            yield
        finally:
            for client in clients:
                client.cancel()
            await asyncio.gather(*clients, return_exceptions=True)

    async def _run_client(self) -> None:
        while True:
            with (
                contextlib.suppress(OSError),
                socket.socket(socket.AF_INET, socket.SOCK_STREAM) as client,
            ):
                await self._run_script(client)
            await asyncio.sleep(_RECONNECT_INTERVAL_S)

    async def _run_script(self, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        client.setblocking(False)
        client.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES
        )
        await loop.sock_connect(client, (LOOPBACK_HOST, self._port))
        sender = asyncio.create_task(self._send(client))
        try:
            if not self._script.reads:
                await sender
                await asyncio.Event().wait()
            while await loop.sock_recv(client, _READ_BYTES):
                pass
        finally:
            sender.cancel()
            await asyncio.gather(sender, return_exceptions=True)

    async def _send(self, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        for part in self._script.parts:
            await loop.sock_sendall(client, part)
            await asyncio.sleep(self._script.pause_s)
        while self._script.repeat:
            await loop.sock_sendall(client, self._script.parts[-1])
            await asyncio.sleep(self._script.pause_s)


def head(
    method: str, path: str, *fields: str, body_bytes: int | None = None
) -> bytes:
    """Return a request line and header fields.

    :param fields: further fields, such as ``Accept: text/plain``
    :param body_bytes: declared size of the body, None for a request without
        a body or with one in chunks
    """
    lines = [f"{method} {path} HTTP/1.1", "Host: desk.example", *fields]
    if body_bytes is not None:
        lines.append(f"Content-Length: {body_bytes}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunk(data: bytes) -> bytes:
    """Return data as a chunk of a body in the chunked coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)
