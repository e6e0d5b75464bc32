"""HTTP calls of the tools."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from aiosonic.exceptions import AiosonicError
from aiosonic.exceptions import ConnectTimeout
from aiosonic.timeout import Timeouts
from result import Err
from result import Ok

from tools.http_answer import HttpAnswer
from tools.send_failure import SendFailure

if TYPE_CHECKING:
    from collections.abc import Mapping

    from aiosonic import HTTPClient
    from result import Result


class HttpCaller:
    """Sends calls and tells calls never sent from those that broke off."""

    def __init__(self, client: HTTPClient) -> None:
        """Create a caller.

        :param client: never sends a POST twice by itself
        """
        self._client = client

    async def get(
        self, url: str, headers: Mapping[str, str], limit_s: float
    ) -> Result[HttpAnswer, SendFailure]:
        """Send a GET request."""
        return await self._send("GET", url, headers, None, limit_s)

    async def post(
        self,
        url: str,
        headers: Mapping[str, str],
        body: bytes,
        limit_s: float,
    ) -> Result[HttpAnswer, SendFailure]:
        """Send a POST request.

        :param body: JSON text
        """
        typed = {**headers, "Content-Type": "application/json"}
        return await self._send("POST", url, typed, body, limit_s)

    async def _send(
        self,
        method: str,
        url: str,
        headers: Mapping[str, str],
        body: bytes | None,
        limit_s: float,
    ) -> Result[HttpAnswer, SendFailure]:
        start = monotonic()
        try:
            response = await self._client.request(
                url,
                method=method,
                headers=dict(headers),
                data=body,
                timeouts=Timeouts(request_timeout=limit_s),
            )
            answer = await response.content()
        except (ConnectionRefusedError, ConnectTimeout):
            return Err(SendFailure.NOT_SENT)
        except (OSError, EOFError, AiosonicError, TimeoutError):
            return Err(SendFailure.BROKEN)
        return Ok(
            HttpAnswer(
                response.status_code,
                response.headers,
                answer,
                monotonic() - start,
            )
        )
