"""A small HTTP/1.1 server and client on asyncio streams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import json
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit

HOST = "127.0.0.1"
_REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}


@dataclass(frozen=True)
class Request:
    """A request that a stand-in received completely."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


class HttpServer:
    """Serves one handler on an assigned loopback port."""

    def __init__(self, handler: Any) -> None:
        """Create a server; `handler(request)` returns status and body."""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self.port = 0

    @property
    def address(self) -> str:
        """Return the IP address and port."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen on a free port, or on the same one as before."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all channels."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                status, body = await self._handler(request)
                data = b"" if body is None else json.dumps(body).encode()
                writer.write(
                    (
                        f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}"
                        "\r\nContent-Type: application/json\r\n"
                        f"Content-Length: {len(data)}\r\n\r\n"
                    ).encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, EOFError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = await _read_headers(reader)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    query = {k: v[0] for k, v in parse_qs(parts.query).items()}
    return Request(method, parts.path, query, headers, body)


async def _read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    headers = {}
    while True:
        line = (await reader.readline()).decode().strip()
        if not line:
            return headers
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()


async def call(
    port: int,
    method: str,
    path: str,
    host: str,
    body: Any = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any] | None:
    """Send one request on a new channel.

    :returns: status and decoded body, None without a complete answer
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(
                (
                    f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Carawaystep-Timeout-Ms: {int(timeout_s * 1000)}\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                ).encode()
                + data
            )
            status = int((await reader.readline()).split()[1])
            headers = await _read_headers(reader)
            length = int(headers.get("content-length", "0"))
            answer = await reader.readexactly(length)
            return status, json.loads(answer or b"null")
    except (OSError, TimeoutError, EOFError, IndexError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
