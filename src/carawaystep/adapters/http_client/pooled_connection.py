"""Connection of the HTTP client's pool."""

from __future__ import annotations

from time import monotonic
from typing import Any
from typing import TYPE_CHECKING

from aiosonic import HTTPClient
from aiosonic.connectors import TCPConnector
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from carawaystep.adapters.http_client.address_resolver import AddressResolver
from carawaystep.adapters.http_client.http_connection import HttpConnection
from carawaystep.adapters.http_client.http_response import HttpResponse
from carawaystep.adapters.http_client.malformed_response import (
    MalformedResponse,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from aiosonic.client import HttpResponse as ReceivedResponse

    from carawaystep.adapters.http_client.http_request import HttpRequest

# Larger than the largest body that an entry accepts from callers (16 MiB), and
# far larger than the checkpoints of the stand-in workers.
MAX_RESPONSE_BODY_BYTES = 64 * 1024 * 1024

_NO_BODY_STATUSES = frozenset({204, 304})


class PooledConnection:
    """One connection that carries one request at a time.

    aiosonic keeps a connection after a timed-out request and returns the
    late response to the next request. Each pooled connection therefore has
    an aiosonic client of its own, and must be closed after every request
    that did not end with a complete response.
    """

    def __init__(self) -> None:
        """Create the client; the first request opens the connection."""
        self._connection: HttpConnection | None = None
        self._idle_since_s = monotonic()
        # Without a limit, no connection is replaced by another one in place.
        pool = PoolConfig(size=1, max_conn_requests=None)
        self._client = HTTPClient(
            connector=TCPConnector(
                resolver=AddressResolver(),
                pool_configs={":default": pool},
                connection_cls=self._make_connection,
                # HttpClient limits the duration of the whole call.
                timeouts=Timeouts(None, None, None, None),
            ),
            follow=False,
        )

    @property
    def maybe_sent(self) -> bool:
        """Return whether bytes of the current request may have been sent."""
        return self._connection is not None and self._connection.maybe_sent

    @property
    def checked(self) -> bool:
        """Return whether a check of the open connection has succeeded."""
        return self._connection is not None and self._connection.checked

    @property
    def closes_after_response(self) -> bool:
        """Return whether the server closes it after the last response."""
        return self._connection is not None and not self._connection.keep

    @property
    def idle_s(self) -> float:
        """Return the seconds since the last complete response."""
        return monotonic() - self._idle_since_s

    def mark_checked(self) -> None:
        """Record that a check of the open connection has succeeded."""
        if self._connection is not None:
            self._connection.checked = True

    async def is_reusable(self) -> bool:
        """Return whether the kept-alive connection can carry a request."""
        if self._connection is None or not self._connection.keep:
            return False
        return await self._connection.has_no_pending_input()

    async def send(
        self, request: HttpRequest, on_progress: Callable[[], None]
    ) -> HttpResponse:
        """Send a request once and read its complete response.

        :param on_progress: called when the headers and whenever a part of
            the body has arrived
        :raises Exception: of any type; the connection must then be closed
        """
        if self._connection is not None:
            self._connection.begin_request()
        response = await self._client.request(
            request.url,
            method=request.method,
            headers={"Accept-Encoding": "identity", **request.headers},
            data=request.body,
            follow=False,
            stream=True,
        )
        headers = self._validate_headers(
            response.status_code, response.raw_headers
        )
        on_progress()
        content = b""
        if response.status_code not in _NO_BODY_STATUSES:
            content = await self._read_body(response, headers, on_progress)
        content_length = headers.get("content-length")
        if content_length is not None and len(content) != int(content_length):
            raise MalformedResponse("body length differs from Content-Length")
        self._idle_since_s = monotonic()
        return HttpResponse(response.status_code, headers, content)

    def close(self) -> None:
        """Close the connection; it cannot be used again."""
        if self._connection is not None:
            self._connection.close_permanently()

    def _make_connection(self, pool: Any) -> HttpConnection:
        self._connection = HttpConnection(pool)
        return self._connection

    @staticmethod
    async def _read_body(
        response: ReceivedResponse,
        headers: Mapping[str, str],
        on_progress: Callable[[], None],
    ) -> bytes:
        if int(headers.get("content-length", "1")) == 0:
            return b""
        parts = []
        async for part in response.read_chunks():
            parts.append(part)
            on_progress()
        return b"".join(parts)

    @staticmethod
    def _validate_headers(
        status: int, raw_headers: list[tuple[str, str]]
    ) -> dict[str, str]:
        """Reject responses whose end aiosonic does not detect reliably."""
        if status < 200:
            raise MalformedResponse(
                f"unsupported informational status {status}"
            )
        headers = {name.lower(): value.strip() for name, value in raw_headers}
        names = [name.lower() for name, _ in raw_headers]
        if names.count("content-length") > 1:
            raise MalformedResponse("more than one Content-Length header")
        if "content-encoding" in headers:
            raise MalformedResponse("unrequested Content-Encoding")
        content_length = headers.get("content-length")
        transfer_encoding = headers.get("transfer-encoding")
        if content_length is None and transfer_encoding is None:
            if status in _NO_BODY_STATUSES:
                return headers
            raise MalformedResponse(
                "neither Content-Length nor Transfer-Encoding"
            )
        if transfer_encoding is not None:
            if (
                content_length is not None
                or transfer_encoding.lower() != "chunked"
            ):
                raise MalformedResponse(
                    "Transfer-Encoding that is not just chunked, or that is"
                    " combined with Content-Length"
                )
            return headers
        if content_length is None or not (
            content_length.isascii() and content_length.isdigit()
        ):
            raise MalformedResponse("Content-Length is not a decimal number")
        if int(content_length) > MAX_RESPONSE_BODY_BYTES:
            raise MalformedResponse(
                f"body larger than {MAX_RESPONSE_BODY_BYTES} bytes"
            )
        return headers
