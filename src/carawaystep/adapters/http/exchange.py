"""One request and its reply on a connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from starlette.types import Message
    from starlette.types import Receive
    from starlette.types import Scope
    from starlette.types import Send

# Without a timeout, a caller that does not read its reply would keep the
# connection open forever.
_SEND_TIMEOUT_S = 30.0

# Closing a socket with unread data resets the connection, so that the caller
# may lose a reply that it has not read yet. The rest of the body is therefore
# read and discarded for this time.
_LINGER_TIMEOUT_S = 1.0


class Exchange:
    """Closes the connection if the reply is sent before the body has arrived.

    The reply gets ``Connection: close``. Its last part is delayed until the
    rest of the body has been discarded or the linger timeout has passed.
    """

    def __init__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Create an exchange whose request headers have arrived.

        :param scope: ASGI scope of the call
        :param receive: ASGI callable of the server
        :param send: ASGI callable of the server
        """
        self._receive = receive
        self._send = send
        self._body_complete = not _has_body(scope)
        self._closes_after_reply = False

    async def receive(self) -> Message:
        """Return the next ASGI message from the caller."""
        message = await self._receive()
        if not message.get("more_body", False):
            self._body_complete = True
        return message

    async def send(self, message: Message) -> None:
        """Send an ASGI message of the reply.

        :raises TimeoutError: the caller does not read the reply
        """
        if (
            message["type"] == "http.response.start"
            and not self._body_complete
        ):
            self._closes_after_reply = True
            headers = [*message["headers"], (b"connection", b"close")]
            message = {**message, "headers": headers}
        is_last = message["type"] == "http.response.body" and not message.get(
            "more_body", False
        )
        if not (is_last and self._closes_after_reply):
            await self._send_with_timeout(message)
            return
        await self._send_with_timeout({**message, "more_body": True})
        await self._discard_body()
        await self._send_with_timeout(
            {"type": "http.response.body", "body": b""}
        )

    async def _send_with_timeout(self, message: Message) -> None:
        async with asyncio.timeout(_SEND_TIMEOUT_S):
            await self._send(message)

    async def _discard_body(self) -> None:
        try:
            async with asyncio.timeout(_LINGER_TIMEOUT_S):
                while not self._body_complete:
                    await self.receive()
        except TimeoutError:
            return


def _has_body(scope: Scope) -> bool:
    headers: dict[bytes, bytes] = dict(scope["headers"])
    length = headers.get(b"content-length", b"")
    return b"transfer-encoding" in headers or length.strip(b"0") != b""
