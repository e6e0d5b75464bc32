"""TCP relay that counts calls and bytes."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING

from tools.port_allocator import LOOPBACK_HOST

if TYPE_CHECKING:
    from tools.capacity.traffic_counter import TrafficCounter

_CHUNK_BYTES = 65536
_REQUEST_LINE = re.compile(
    rb"(?:GET|POST|PUT|DELETE) /v1/(?:tables/)?(\w+)[^ \r\n]* HTTP/1\.1\r\n"
)


class CountingRelay:
    """Forwards connections to one port and counts their traffic.

    HTTP calls are classified by the first part of their path. Clients do not
    pipeline requests, so that a response belongs to the last request of its
    connection. Each connection has two tasks, one for each direction.
    """

    def __init__(
        self,
        counter: TrafficCounter,
        group: str,
        target_port: int,
        inbound: bool = False,
    ) -> None:
        """Create a relay that does not listen yet.

        :param counter: counts the traffic
        :param group: first part of the names of the kinds of call
        :param target_port: loopback port to connect to
        :param inbound: whether the measured process is the server
        """
        self._counter = counter
        self._group = group
        self._target_port = target_port
        self._inbound = inbound
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Return the port that the relay listens on.

        :raises ValueError: the relay is not started
        """
        if self._server is None:
            raise ValueError("the relay has no port before it is started")
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK_HOST, 0
        )

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is None:
            return
        self._tasks.add(task)
        try:
            await self._relay_connection(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target = await asyncio.open_connection(
            LOOPBACK_HOST, self._target_port
        )
        kind = [self._group]
        directions = [
            asyncio.create_task(
                self._forward_requests(reader, target[1], kind)
            ),
            asyncio.create_task(
                self._forward_responses(target[0], writer, kind)
            ),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in directions:
                task.cancel()
            await asyncio.gather(*directions, return_exceptions=True)
            target[1].close()

    async def _forward_requests(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        kind: list[str],
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            request_names = _REQUEST_LINE.findall(data)
            if request_names:
                kind[0] = f"{self._group}/{request_names[-1].decode()}"
                self._counter.counts_of(kind[0]).calls += len(request_names)
            self._count(kind[0], data, sent=not self._inbound)
            writer.write(data)
            await writer.drain()

    async def _forward_responses(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        kind: list[str],
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            self._count(kind[0], data, sent=self._inbound)
            writer.write(data)
            await writer.drain()

    def _count(self, kind: str, data: bytes, sent: bool) -> None:
        traffic = self._counter.counts_of(kind)
        if sent:
            traffic.sent_bytes += len(data)
        else:
            traffic.received_bytes += len(data)
