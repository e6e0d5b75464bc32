"""HTTP server on loopback that answers from a script."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType

CLOSE = None

# A float is a pause in seconds, CLOSE closes the connection.
Step = bytes | float | None


def answer(body: bytes, status: int = 200, **headers: str) -> bytes:
    """Return a whole answer; underscores in header names become dashes."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [
        f"{name.replace('_', '-')}: {value}" for name, value in headers.items()
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


class ScriptedServer:
    """Plays the next list of steps for each request that arrives.

    ``seen`` has the connection number and the request of each call.
    """

    def __init__(self, *scripts: list[Step]) -> None:
        """Take the steps for each request, in order of arrival."""
        self._scripts = list(scripts)
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.seen: list[tuple[int, bytes, bytes]] = []
        self.connections = 0
        self.open = 0
        self.peak = 0
        self.url = ""

    async def __aenter__(self) -> ScriptedServer:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}"
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
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
        self.connections += 1
        task = asyncio.ensure_future(
            self._serve(self.connections, reader, writer)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.open += 1
        self.peak = max(self.peak, self.open)
        try:
            while await self._serve_one(number, reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open -= 1
            writer.close()

    async def _serve_one(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
        self.seen.append((number, head, await reader.readexactly(length)))
        script = self._scripts.pop(0) if self._scripts else [answer(b"more")]
        for step in script:
            if step is CLOSE:
                return False
            if isinstance(step, bytes):
                writer.write(step)
                await writer.drain()
            else:
                await asyncio.sleep(step)
        return True
