"""One call and its reply on a connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from starlette.types import Message
    from starlette.types import Receive
    from starlette.types import Scope
    from starlette.types import Send

# A caller that does not read its reply would hold the connection for ever.
_SEND_LIMIT_S = 30.0

# Closing a socket with unread data resets the connection, and the caller may
# lose a reply that it has not read yet. The rest of the body is therefore
# read and dropped for this long.
_LINGER_S = 1.0


class Exchange:
    """Closes the connection when the reply leaves before the body's end."""

    def __init__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Create an exchange at the end of the headers.

        :param scope: the call
        :param receive: of the server
        :param send: of the server
        """
        self._receive = receive
        self._send = send
        self._body_ended = not _has_body(scope)
        self._lingering = False

    async def receive(self) -> Message:
        """Return the next message of the caller."""
        message = await self._receive()
        if not message.get("more_body", False):
            self._body_ended = True
        return message

    async def send(self, message: Message) -> None:
        """Send a part of the reply."""
        if message["type"] == "http.response.start" and not self._body_ended:
            self._lingering = True
            headers = [*message["headers"], (b"connection", b"close")]
            message = {**message, "headers": headers}
        last = message["type"] == "http.response.body" and not message.get(
            "more_body", False
        )
        if not (last and self._lingering):
            await self._send_part(message)
            return
        await self._send_part({**message, "more_body": True})
        await self._drop_body()
        await self._send_part({"type": "http.response.body", "body": b""})

    async def _send_part(self, message: Message) -> None:
        async with asyncio.timeout(_SEND_LIMIT_S):
            await self._send(message)

    async def _drop_body(self) -> None:
        try:
            async with asyncio.timeout(_LINGER_S):
                while not self._body_ended:
                    await self.receive()
        except TimeoutError:
            return


def _has_body(scope: Scope) -> bool:
    headers: dict[bytes, bytes] = dict(scope["headers"])
    length = headers.get(b"content-length", b"")
    return b"transfer-encoding" in headers or length.strip(b"0") != b""
