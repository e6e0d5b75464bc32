"""HTTP client that sends each request at most once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err
from result import Ok

from carawaystep.adapters.http_client.http_failure import HttpNotSent
from carawaystep.adapters.http_client.http_failure import HttpOutcomeUnknown
from carawaystep.adapters.http_client.http_request import HttpRequest
from carawaystep.adapters.http_client.pooled_connection import PooledConnection

if TYPE_CHECKING:
    from collections.abc import Mapping

    from result import Result

    from carawaystep.adapters.http_client.http_failure import HttpFailure
    from carawaystep.adapters.http_client.http_response import HttpResponse

# uvicorn closes idle connections after 5 s; a request sent at that moment
# would have an unknown result.
MAX_IDLE_S = 4.0


class HttpClient:
    """Calls to one server over a bounded number of connections.

    Every failure is a value, and no call is repeated.
    """

    def __init__(self, url: str, connections: int) -> None:
        """Open nothing yet.

        :param url: base URL of the server
        :param connections: limit of open connections
        """
        self._url = url.rstrip("/")
        self._limit = connections
        self._calls = 0
        self._room = asyncio.Event()
        self._idle: list[PooledConnection] = []
        self._busy: set[PooledConnection] = set()
        self._closed = False

    @property
    def open_connections(self) -> int:
        """Connections that are in use or kept alive."""
        return len(self._idle) + len(self._busy)

    def limit_connections(self, connections: int) -> None:
        """Change the limit; calls under way are not interrupted."""
        self._limit = connections
        self._room.set()
        while self._idle and self.open_connections > connections:
            self._idle.pop(0).close()

    async def request(
        self,
        method: str,
        path: str,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> Result[HttpResponse, HttpFailure]:
        """Send a request once and return its whole answer.

        :param method: HTTP method
        :param path: path with query, already quoted
        :param timeout_s: limit of the whole call, with the wait for a
            connection
        :param headers: further headers
        :param body: body, or None
        """
        call = HttpRequest(method, self._url + path, headers or {}, body)
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._enter()
        except TimeoutError:
            return Err(HttpNotSent(f"{call}: no connection was free in time"))
        try:
            return await self._send(call, deadline_s)
        finally:
            self._leave()

    async def close(self) -> None:
        """Close all connections; calls under way fail."""
        self._closed = True
        for channel in (*self._idle, *self._busy):
            channel.close()
        self._idle.clear()

    async def _enter(self) -> None:
        # A semaphore cannot take back free slots when the limit is lowered.
        while self._calls >= self._limit:
            self._room.clear()
            await self._room.wait()
        self._calls += 1

    def _leave(self) -> None:
        self._calls -= 1
        self._room.set()

    async def _send(
        self, call: HttpRequest, deadline_s: float
    ) -> Result[HttpResponse, HttpFailure]:
        if self._closed:
            return Err(HttpNotSent(f"{call}: the client is closed"))
        channel = await self._take_channel()
        answer: HttpResponse | None = None
        try:
            async with asyncio.timeout_at(deadline_s):
                answer = await channel.exchange(call)
        # aiosonic lets exceptions of many kinds through (ValueError,
        # IncompleteReadError, zlib.error); each of them is a failed call.
        except Exception as error:
            detail = f"{call}: {str(error) or type(error).__name__}"
            if channel.sent:
                return Err(HttpOutcomeUnknown(detail))
            return Err(HttpNotSent(detail))
        finally:
            self._put_back(channel, whole=answer is not None)
        return Ok(answer)

    async def _take_channel(self) -> PooledConnection:
        self._close_expired()
        while self._idle:
            channel = self._idle.pop()
            self._busy.add(channel)
            reusable = False
            try:
                reusable = await channel.is_reusable()
            finally:
                if not reusable:
                    self._put_back(channel, whole=False)
            if reusable:
                return channel
        channel = PooledConnection()
        self._busy.add(channel)
        return channel

    def _put_back(self, channel: PooledConnection, whole: bool) -> None:
        self._busy.discard(channel)
        self._close_expired()
        if whole and not self._closed and self.open_connections < self._limit:
            self._idle.append(channel)
            return
        channel.close()

    def _close_expired(self) -> None:
        # The list is in order of last use.
        while self._idle and self._idle[0].idle_s > MAX_IDLE_S:
            self._idle.pop(0).close()
