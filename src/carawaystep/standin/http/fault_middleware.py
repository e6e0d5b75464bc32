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

    from carawaystep.standin.http.fault_controller import FaultSwitch


class FaultGate:
    """ASGI layer through which all calls to a stand-in pass.

    A call is read whole before it has an effect. From then on it runs to its
    end, whether or not its caller hangs up.
    """

    def __init__(
        self,
        app: ASGIApp,
        switch: FaultSwitch,
        exempt: tuple[str, ...],
        refusal_headers: Mapping[str, str],
    ) -> None:
        """Create the layer.

        :param app: the stand-in
        :param switch: its faults
        :param exempt: first parts of the paths that faults leave alone
        :param refusal_headers: headers of the answer to a refused call
        """
        self._app = app
        self._switch = switch
        self._exempt = exempt
        self._refusal_headers = refusal_headers

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle one call."""
        body = await _read_body(receive)
        if body is None:
            return
        replay = _Replay(body, receive)
        if scope["path"].startswith(self._exempt):
            await self._app(scope, replay, send)
            return
        await self._switch.hold_up()
        if self._switch.plan.refuses():
            refusal = json_error(
                503, "outage", "the call was refused", self._refusal_headers
            )
            await refusal(scope, replay, send)
            return
        loses = scope["method"] != "GET" and self._switch.plan.loses_answer()
        answer: list[Message] = []
        await self._app(scope, replay, _collector(answer))
        await self._switch.hold_up()
        if loses:
            scope["state"][ABORT_KEY]()
            await _wait_for_disconnect(replay)
            return
        for message in answer:
            await send(message)


class _Replay:
    """Gives a body that was read already to the application."""

    def __init__(self, body: bytes, receive: Receive) -> None:
        self._body: bytes | None = body
        self._receive = receive

    async def __call__(self) -> Message:
        if self._body is None:
            return await self._receive()
        body, self._body = self._body, None
        return {"type": "http.request", "body": body, "more_body": False}


def _collector(answer: list[Message]) -> Send:
    async def collect(message: Message) -> None:
        answer.append(message)

    return collect


async def _read_body(receive: Receive) -> bytes | None:
    """Return the whole body, None when the caller broke it off."""
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
