"""Applies the faults of a stand-in to its HTTP calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.standin.http.json_errors import json_error
from carawaystep.standin.http.standin_protocol import ABORT_KEY

if TYPE_CHECKING:
    from collections.abc import Mapping

    from starlette.types import ASGIApp
    from starlette.types import Message
    from starlette.types import Receive
    from starlette.types import Scope
    from starlette.types import Send

    from carawaystep.standin.http.fault_controller import FaultController


class FaultMiddleware:
    """ASGI middleware that delays or refuses calls, or loses their answers.

    The body is read completely before the call has an effect, so that an
    incomplete request has none. After that the call runs to its end even if
    the caller disconnects.
    """

    def __init__(
        self,
        app: ASGIApp,
        fault_controller: FaultController,
        exempt_prefixes: tuple[str, ...],
        refusal_headers: Mapping[str, str],
    ) -> None:
        """Create the middleware.

        :param app: ASGI application of the stand-in
        :param fault_controller: delays calls and holds the faults
        :param exempt_prefixes: path prefixes of calls without faults
        :param refusal_headers: headers of the response to a refused call
        """
        self._app = app
        self._fault_controller = fault_controller
        self._exempt_prefixes = exempt_prefixes
        self._refusal_headers = refusal_headers

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle one HTTP request."""
        body = await _read_body(receive)
        if body is None:
            return
        replay = _BodyReplay(body, receive)
        if scope["path"].startswith(self._exempt_prefixes):
            await self._app(scope, replay, send)
            return
        await self._fault_controller.delay_call()
        if self._fault_controller.faults.refuse_next_call():
            refusal = json_error(
                503, "outage", "the call was refused", self._refusal_headers
            )
            await refusal(scope, replay, send)
            return
        lose_answer = (
            scope["method"] != "GET"
            and self._fault_controller.faults.lose_next_answer()
        )
        answer: list[Message] = []
        await self._app(scope, replay, _buffer_messages(answer))
        await self._fault_controller.delay_call()
        if lose_answer:
            scope["state"][ABORT_KEY]()
            await _wait_for_disconnect(replay)
            return
        for message in answer:
            await send(message)


class _BodyReplay:
    """Passes a body that was already read on to the application."""

    def __init__(self, body: bytes, receive: Receive) -> None:
        self._body: bytes | None = body
        self._receive = receive

    async def __call__(self) -> Message:
        if self._body is None:
            return await self._receive()
        body, self._body = self._body, None
        return {"type": "http.request", "body": body, "more_body": False}


def _buffer_messages(answer: list[Message]) -> Send:
    async def collect(message: Message) -> None:
        answer.append(message)

    return collect


async def _read_body(receive: Receive) -> bytes | None:
    """Return the complete body, None if the caller disconnected."""
    parts: list[bytes] = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
