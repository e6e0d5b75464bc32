"""ASGI client without sockets, for tests in virtual time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import json
from typing import Any
from typing import TYPE_CHECKING

from carawaystep.standin.http.standin_protocol import ABORT_KEY

if TYPE_CHECKING:
    from starlette.types import ASGIApp
    from starlette.types import Message


@dataclass(frozen=True, slots=True)
class AsgiResponse:
    """Response of the application."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Parse the body as JSON."""
        return json.loads(self.body)


async def call(
    app: ASGIApp,
    method: str,
    target: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> AsgiResponse:
    """Send one request and return the response.

    :param app: application to call
    :param method: HTTP method
    :param target: path, with a query string if any
    :param body: bytes, or a value to encode as JSON
    :param headers: request headers
    :raises ConnectionError: if the connection was closed without a response
    """
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    path, _, query = target.partition("?")
    aborted = asyncio.Event()
    received: list[Message] = []
    sent: list[Message] = []

    async def receive() -> Message:
        if not received:
            received.append({"type": "http.request", "body": data})
            return received[0]
        await aborted.wait()
        return {"type": "http.disconnect"}

    async def send(message: Message) -> None:
        sent.append(message)

    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "query_string": query.encode(),
        "headers": [
            (name.lower().encode(), value.encode())
            for name, value in (headers or {}).items()
        ],
        "state": {ABORT_KEY: aborted.set},
    }
    await app(scope, receive, send)
    if aborted.is_set():
        raise ConnectionError("closed without a response")
    return AsgiResponse(
        sent[0]["status"],
        {name.decode(): value.decode() for name, value in sent[0]["headers"]},
        b"".join(message.get("body", b"") for message in sent[1:]),
    )
