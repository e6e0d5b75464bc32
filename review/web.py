"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins."""

from __future__ import annotations

import asyncio
import json
from urllib.parse import parse_qsl
from urllib.parse import urlsplit


async def _read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if size == 0:
                return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Server:
    """Serves ``await handle(method, path, query, headers, body)``.

    The handler returns (status, value); None closes the connection without
    an answer.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self.port = 0

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 20, backlog=256
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stop listening and reset the open connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers = await _read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await _read_body(reader, headers)
                url = urlsplit(target)
                query = dict(parse_qsl(url.query, keep_blank_values=True))
                answer = await self._handle(
                    method, url.path, query, headers, body
                )
                if answer is None:
                    writer.transport.abort()
                    return
                status, value = answer
                data = b"" if value is None else json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(address, method, path, body=None, headers=(), timeout_s=5.0):
    """Send one request; return (status, value), or (None, reason)."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=1 << 20
            )
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}"]
            lines += [f"{name}: {value}" for name, value in dict(headers).items()]
            if "Host" not in dict(headers):
                lines.append(f"Host: {address}")
            lines.append("Content-Type: application/json")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            first, response_headers = await _read_head(reader)
            content = await _read_body(reader, response_headers)
            status = int(first.split(" ")[1])
            return status, json.loads(content) if content else None
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as error:
        return None, type(error).__name__
    finally:
        if writer is not None:
            writer.transport.abort()
