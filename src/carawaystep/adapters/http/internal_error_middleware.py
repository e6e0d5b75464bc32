"""Last stop of unexpected exceptions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.adapters.http.replies import error_reply

if TYPE_CHECKING:
    from starlette.types import ASGIApp
    from starlette.types import Message
    from starlette.types import Receive
    from starlette.types import Scope
    from starlette.types import Send

    from carawaystep.adapters.http.internal_error_reporter import (
        InternalErrorReporter,
    )


class InternalErrorMiddleware:
    """Turns an unexpected exception of a handler into an error reply."""

    def __init__(self, app: ASGIApp, faults: InternalErrorReporter) -> None:
        """Wrap an application.

        :param app: the application
        :param faults: told of unexpected exceptions
        """
        self._app = app
        self._faults = faults

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one call."""
        started = False

        async def observed_send(message: Message) -> None:
            nonlocal started
            started = True
            await send(message)

        try:
            await self._app(scope, receive, observed_send)
        except Exception as error:
            # Once the reply has started the server can only close the
            # connection, which it does for an exception.
            if started or scope["type"] != "http":
                raise
            refusal = self._faults.report(error)
            headers = scope.get("state", {}).get("reply_headers")
            await error_reply(refusal, headers)(scope, receive, send)
