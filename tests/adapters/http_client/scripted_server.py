"""HTTP server on loopback that sends scripted responses."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType

CLOSE = None

# Bytes are sent, a float is a pause in seconds, CLOSE closes the connection.
Step = bytes | float | None


def response(body: bytes, status: int = 200, **headers: str) -> bytes:
    """Return an encoded response.

    :param body: complete body
    :param status: HTTP status
    :param headers: headers; underscores in their names become hyphens
    """
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [
        f"{name.replace('_', '-')}: {value}" for name, value in headers.items()
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


class ScriptedServer:
    """Executes the next list of steps for each request that arrives.

    ``requests`` has the number of the connection, the head and the body of
    each request that arrived.
    """

    def __init__(self, *scripts: list[Step]) -> None:
        """Create a server.

        :param scripts: steps for each request in order of arrival; further
            requests get a response with the body ``more``
        """
        self._scripts = list(scripts)
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.requests: list[tuple[int, bytes, bytes]] = []
        self.accepted_connections = 0
        self.open_connections = 0
        self.peak_connections = 0
        self.url = ""

    async def __aenter__(self) -> ScriptedServer:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}"
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close all connections."""
        await self.stop()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted_connections += 1
        task = asyncio.ensure_future(
            self._serve(self.accepted_connections, reader, writer)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self,
        connection_number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.open_connections += 1
        self.peak_connections = max(
            self.peak_connections, self.open_connections
        )
        try:
            while await self._serve_one(connection_number, reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open_connections -= 1
            writer.close()

    async def _serve_one(
        self,
        connection_number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
        self.requests.append(
            (connection_number, head, await reader.readexactly(length))
        )
        script = self._scripts.pop(0) if self._scripts else [response(b"more")]
        for step in script:
            if step is CLOSE:
                return False
            if isinstance(step, bytes):
                writer.write(step)
                await writer.drain()
            else:
                await asyncio.sleep(step)
        return True
