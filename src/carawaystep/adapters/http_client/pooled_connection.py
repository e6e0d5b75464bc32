"""One connection to an HTTP server."""

from __future__ import annotations

from time import monotonic
from typing import Any
from typing import TYPE_CHECKING

from aiosonic import HTTPClient
from aiosonic.connectors import TCPConnector
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from carawaystep.adapters.http_client.http_connection import HttpConnection
from carawaystep.adapters.http_client.http_response import HttpResponse
from carawaystep.adapters.http_client.malformed_response import (
    MalformedResponse,
)

if TYPE_CHECKING:
    from carawaystep.adapters.http_client.http_request import HttpRequest

# An entry refuses larger bodies from callers, and checkpoints of the
# stand-ins are far smaller.
MAX_RESPONSE_BODY_BYTES = 64 * 1024 * 1024

_NO_BODY_STATUSES = frozenset({204, 304})


class PooledConnection:
    """One connection that carries one call at a time.

    aiosonic keeps a connection after a timed-out call and gives the late
    answer to the next call. Each channel therefore has a client of its own
    and is closed after every call that did not end with a whole answer.
    """

    def __init__(self) -> None:
        """Open nothing yet."""
        self._connection: HttpConnection | None = None
        self._idle_since_s = monotonic()
        pool = PoolConfig(size=1)
        self._client = HTTPClient(
            connector=TCPConnector(
                pool_configs={":default": pool},
                connection_cls=self._make_connection,
                # The caller limits the whole call.
                timeouts=Timeouts(None, None, None, None),
            ),
            follow=False,
        )

    @property
    def sent(self) -> bool:
        """True when a byte of the current request may have left."""
        return self._connection is not None and self._connection.sent

    @property
    def idle_s(self) -> float:
        """Seconds since the last whole answer."""
        return monotonic() - self._idle_since_s

    async def is_reusable(self) -> bool:
        """Tell whether the kept-alive connection can carry a call."""
        if self._connection is None or not self._connection.keep:
            return False
        return await self._connection.is_quiet()

    async def exchange(self, call: HttpRequest) -> HttpResponse:
        """Send a request once and read its whole answer.

        :raises Exception: the channel must be closed afterwards
        """
        if self._connection is not None:
            self._connection.begin()
        response = await self._client.request(
            call.url,
            method=call.method,
            headers={"Accept-Encoding": "identity", **call.headers},
            data=call.body,
            follow=False,
            stream=True,
        )
        answer_headers = self._check_headers(
            response.status_code, response.raw_headers
        )
        content = await response.content()
        length = answer_headers.get("content-length")
        if length is not None and len(content) != int(length):
            raise MalformedResponse(
                "the body does not have its declared length"
            )
        self._idle_since_s = monotonic()
        return HttpResponse(response.status_code, answer_headers, content)

    def close(self) -> None:
        """Close the connection; the channel cannot be used again."""
        if self._connection is not None:
            self._connection.discard()

    def _make_connection(self, pool: Any) -> HttpConnection:
        self._connection = HttpConnection(pool)
        return self._connection

    @staticmethod
    def _check_headers(
        status: int, raw: list[tuple[str, str]]
    ) -> dict[str, str]:
        """Reject answers whose end aiosonic would not find reliably."""
        if status < 200:
            raise MalformedResponse(
                f"interim status {status} is not supported"
            )
        headers = {name.lower(): value.strip() for name, value in raw}
        names = [name.lower() for name, _ in raw]
        if names.count("content-length") > 1:
            raise MalformedResponse("more than one Content-Length")
        if "content-encoding" in headers:
            raise MalformedResponse("encoded body, which was not asked for")
        length = headers.get("content-length")
        chunked = headers.get("transfer-encoding")
        if length is None and chunked is None:
            if status in _NO_BODY_STATUSES:
                return headers
            raise MalformedResponse("neither Content-Length nor chunks")
        if chunked is not None:
            if length is not None or chunked.lower() != "chunked":
                raise MalformedResponse("ambiguous Transfer-Encoding")
            return headers
        if length is None or not (length.isascii() and length.isdigit()):
            raise MalformedResponse("Content-Length is not a number")
        if int(length) > MAX_RESPONSE_BODY_BYTES:
            raise MalformedResponse(
                f"body over {MAX_RESPONSE_BODY_BYTES} bytes"
            )
        return headers
