"""HTTP calls of the tools."""

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


# Connections to one server.
_CONNECTIONS = 100


class HttpCaller:
    """Sends calls and tells calls never sent from those that broke off.

    A plain aiosonic client gives the late answer of a timed-out call to the
    next call, which looks like a fault of the entry.
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
        self, url: str, headers: Mapping[str, str], limit_s: float
    ) -> Result[TimedResponse, SendFailure]:
        """Send a GET request."""
        return await self._send("GET", url, headers, None, limit_s)

    async def delete(
        self, url: str, headers: Mapping[str, str], limit_s: float
    ) -> Result[TimedResponse, SendFailure]:
        """Send a DELETE request."""
        return await self._send("DELETE", url, headers, None, limit_s)

    async def put(
        self, url: str, headers: Mapping[str, str], body: bytes, limit_s: float
    ) -> Result[TimedResponse, SendFailure]:
        """Send a PUT request."""
        return await self._send("PUT", url, headers, body, limit_s)

    async def post(
        self,
        url: str,
        headers: Mapping[str, str],
        body: bytes,
        limit_s: float,
    ) -> Result[TimedResponse, SendFailure]:
        """Send a POST request.

        :param body: JSON text
        """
        return await self._send(
            "POST",
            url,
            {**headers, "Content-Type": "application/json"},
            body,
            limit_s,
        )

    async def _send(
        self,
        method: str,
        url: str,
        headers: Mapping[str, str],
        body: bytes | None,
        limit_s: float,
    ) -> Result[TimedResponse, SendFailure]:
        start = monotonic()
        parts = urlsplit(url)
        server = f"{parts.scheme}://{parts.netloc}"
        client = self._clients.get(server)
        if client is None:
            client = HttpClient(server, _CONNECTIONS)
            self._clients[server] = client
        path = url.removeprefix(server)
        sent = await client.request(method, path, limit_s, headers, body)
        if isinstance(sent, Err):
            if isinstance(sent.err_value, HttpNotSent):
                return Err(SendFailure.NOT_SENT)
            return Err(SendFailure.BROKEN)
        answer = sent.ok_value
        return Ok(
            TimedResponse(
                answer.status,
                answer.headers,
                answer.body,
                monotonic() - start,
            )
        )
