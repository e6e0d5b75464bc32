"""HTTP client of the tools."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from result import Err
from result import Ok

from carawaystep.adapters.http_client.http_client import HttpClient
from carawaystep.adapters.http_client.http_failure import HttpNotSent
from tools.send_failure import SendFailure
from tools.timed_response import TimedResponse

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Self

    from result import Result


_MAX_CONNECTIONS_PER_SERVER = 100


class HttpCaller:
    """Sends HTTP calls to any server and classifies failed ones.

    Uses HttpClient, because a plain aiosonic client returns the late response
    of a timed-out call to the next call, which looks like a fault of the
    entry.
    """

    def __init__(self) -> None:
        """Create a caller without connections."""
        self._clients: dict[str, HttpClient] = {}

    async def __aenter__(self) -> Self:
        """Return the caller."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.close()

    async def get(
        self, url: str, headers: Mapping[str, str], timeout_s: float
    ) -> Result[TimedResponse, SendFailure]:
        """Send a GET request."""
        return await self._send("GET", url, headers, None, timeout_s)

    async def delete(
        self, url: str, headers: Mapping[str, str], timeout_s: float
    ) -> Result[TimedResponse, SendFailure]:
        """Send a DELETE request."""
        return await self._send("DELETE", url, headers, None, timeout_s)

    async def put(
        self,
        url: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Result[TimedResponse, SendFailure]:
        """Send a PUT request."""
        return await self._send("PUT", url, headers, body, timeout_s)

    async def post(
        self,
        url: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Result[TimedResponse, SendFailure]:
        """Send a POST request.

        :param body: JSON text
        """
        return await self._send(
            "POST",
            url,
            {**headers, "Content-Type": "application/json"},
            body,
            timeout_s,
        )

    async def _send(
        self,
        method: str,
        url: str,
        headers: Mapping[str, str],
        body: bytes | None,
        timeout_s: float,
    ) -> Result[TimedResponse, SendFailure]:
        start = monotonic()
        parts = urlsplit(url)
        server = f"{parts.scheme}://{parts.netloc}"
        client = self._clients.get(server)
        if client is None:
            client = HttpClient(server, _MAX_CONNECTIONS_PER_SERVER)
            self._clients[server] = client
        path = url.removeprefix(server)
        result = await client.request(method, path, timeout_s, headers, body)
        if isinstance(result, Err):
            if isinstance(result.err_value, HttpNotSent):
                return Err(SendFailure.NOT_SENT)
            return Err(SendFailure.BROKEN)
        response = result.ok_value
        return Ok(
            TimedResponse(
                response.status,
                response.headers,
                response.body,
                monotonic() - start,
            )
        )
