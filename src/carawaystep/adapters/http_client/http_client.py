"""HTTP client that sends each request at most once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err
from result import Ok

from carawaystep.adapters.http_client.http_failure import (
    HttpConnectionRejected,
)
from carawaystep.adapters.http_client.http_failure import HttpNotSent
from carawaystep.adapters.http_client.http_failure import HttpOutcomeUnknown
from carawaystep.adapters.http_client.http_request import HttpRequest
from carawaystep.adapters.http_client.pooled_connection import PooledConnection
from carawaystep.adapters.http_client.response_deadline import ResponseDeadline

if TYPE_CHECKING:
    from collections.abc import Mapping

    from result import Result

    from carawaystep.adapters.http_client.body_timeout import BodyTimeout
    from carawaystep.adapters.http_client.connection_check import (
        ConnectionCheck,
    )
    from carawaystep.adapters.http_client.http_failure import HttpFailure
    from carawaystep.adapters.http_client.http_response import HttpResponse

# Below the 5 s after which uvicorn closes idle connections by default (not
# UvicornServer, which keeps them for longer). A request sent while the server
# closes the connection would have an unknown outcome.
MAX_IDLE_S = 4.0


class HttpClient:
    """Calls to one server over a limited number of connections.

    Failures are returned, not raised, and no request is sent twice.
    """

    def __init__(self, url: str, max_connections: int) -> None:
        """Create a client without connections.

        :param url: base URL of the server
        :param max_connections: maximum number of open connections
        """
        self._url = url.rstrip("/")
        self._max_connections = max_connections
        self._active_calls = 0
        self._call_may_begin = asyncio.Event()
        self._idle: list[PooledConnection] = []
        self._in_use: set[PooledConnection] = set()
        self._closed = False

    @property
    def open_connections(self) -> int:
        """Return the number of connections in use or kept alive."""
        return len(self._idle) + len(self._in_use)

    def limit_connections(self, max_connections: int) -> None:
        """Change the maximum number of connections.

        Calls in progress keep their connections, so a lower limit may be
        exceeded until they end.
        """
        self._max_connections = max_connections
        self._call_may_begin.set()
        while self._idle and self.open_connections > max_connections:
            self._idle.pop(0).close()

    async def request(
        self,
        method: str,
        path: str,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
        body_timeout: BodyTimeout | None = None,
        check: ConnectionCheck | None = None,
    ) -> Result[HttpResponse, HttpFailure]:
        """Send a request once and return its complete response.

        :param method: HTTP method
        :param path: path and query, already percent-encoded
        :param timeout_s: timeout of the whole call in seconds, including the
            wait for a free connection; after a check it begins anew
        :param headers: headers in addition to those that the client sets
        :param body: body, None for a request without one
        :param body_timeout: limits of a response that has begun, in place of
            ``timeout_s``; None if ``timeout_s`` covers the body too
        :param check: check of the connection if none has succeeded on it;
            None if the request may go to any process at the address
        :returns: the response, :class:`HttpNotSent` or
            :class:`HttpOutcomeUnknown`; :class:`HttpConnectionRejected` if
            the check failed
        """
        request = HttpRequest(method, self._url + path, headers or {}, body)
        loop = asyncio.get_running_loop()
        deadline_at = loop.time() + timeout_s
        try:
            async with asyncio.timeout_at(deadline_at):
                await self._begin_call()
        except TimeoutError:
            return Err(
                HttpNotSent(
                    f"{request}: timed out waiting for a free connection"
                )
            )
        try:
            if self._closed:
                return Err(HttpNotSent(f"{request}: the client is closed"))
            connection = await self._acquire_connection()
            if check is not None and not connection.checked:
                checked = await self._check(connection, check, deadline_at)
                if isinstance(checked, Err):
                    return checked
                connection = checked.ok_value
                deadline_at = loop.time() + timeout_s
            deadline = ResponseDeadline(deadline_at, body_timeout)
            return await self._send(connection, request, deadline)
        finally:
            self._end_call()

    async def close(self) -> None:
        """Close all connections; calls in progress fail."""
        self._closed = True
        for connection in (*self._idle, *self._in_use):
            connection.close()
        self._idle.clear()

    async def _begin_call(self) -> None:
        # Not a semaphore, because the value of a semaphore cannot be lowered
        # when the limit is.
        while self._active_calls >= self._max_connections:
            self._call_may_begin.clear()
            await self._call_may_begin.wait()
        self._active_calls += 1

    def _end_call(self) -> None:
        self._active_calls -= 1
        self._call_may_begin.set()

    async def _check(
        self,
        connection: PooledConnection,
        check: ConnectionCheck,
        deadline_at: float,
    ) -> Result[PooledConnection, HttpFailure]:
        """Check a connection and return the one for the next request.

        That is another one if the server closes each connection after its
        response.
        """
        result = await self._send(
            connection,
            check.request,
            ResponseDeadline(deadline_at, None),
            release=False,
        )
        if isinstance(result, Err):
            return Err(HttpNotSent(result.err_value.detail))
        response = result.ok_value
        if not check.accepts(response):
            self._release_connection(connection, response_complete=False)
            detail = f"{check.request}: rejected, status {response.status}"
            return Err(HttpConnectionRejected(detail, response))
        if connection.closes_after_response:
            self._release_connection(connection, response_complete=False)
            return Ok(self._open_connection())
        connection.mark_checked()
        return Ok(connection)

    async def _send(
        self,
        connection: PooledConnection,
        request: HttpRequest,
        deadline: ResponseDeadline,
        release: bool = True,
    ) -> Result[HttpResponse, HttpFailure]:
        """Send a request on a connection, which is closed if that fails.

        :param release: whether the connection is free afterwards
        """
        response: HttpResponse | None = None
        try:
            async with asyncio.timeout_at(deadline.at) as timeout:

                def record_progress() -> None:
                    now = asyncio.get_running_loop().time()
                    deadline.record_progress(now)
                    if deadline.at != timeout.when():
                        timeout.reschedule(deadline.at)

                response = await connection.send(request, record_progress)
        # aiosonic also raises exceptions of other libraries (ValueError,
        # IncompleteReadError, zlib.error); any of them is a failed call.
        except Exception as error:
            detail = f"{request}: {str(error) or type(error).__name__}"
            if connection.maybe_sent:
                return Err(HttpOutcomeUnknown(detail))
            return Err(HttpNotSent(detail))
        finally:
            if release or response is None:
                self._release_connection(
                    connection, response_complete=response is not None
                )
        return Ok(response)

    async def _acquire_connection(self) -> PooledConnection:
        self._close_expired_connections()
        while self._idle:
            connection = self._idle.pop()
            self._in_use.add(connection)
            reusable = False
            try:
                reusable = await connection.is_reusable()
            finally:
                if not reusable:
                    self._release_connection(
                        connection, response_complete=False
                    )
            if reusable:
                return connection
        return self._open_connection()

    def _open_connection(self) -> PooledConnection:
        connection = PooledConnection()
        self._in_use.add(connection)
        return connection

    def _release_connection(
        self, connection: PooledConnection, response_complete: bool
    ) -> None:
        self._in_use.discard(connection)
        self._close_expired_connections()
        if (
            response_complete
            and not self._closed
            and self.open_connections < self._max_connections
        ):
            self._idle.append(connection)
            return
        connection.close()

    def _close_expired_connections(self) -> None:
        # The least recently used connection comes first.
        while self._idle and self._idle[0].idle_s > MAX_IDLE_S:
            self._idle.pop(0).close()
