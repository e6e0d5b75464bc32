"""Error replies for unexpected exceptions."""

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
    """Replies with status 500 when a handler raises an exception."""

    def __init__(
        self, app: ASGIApp, error_reporter: InternalErrorReporter
    ) -> None:
        """Wrap an application.

        :param app: ASGI application
        :param error_reporter: logs unexpected exceptions
        """
        self._app = app
        self._error_reporter = error_reporter

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Run the application and reply if it raises an exception."""
        started = False

        async def send_and_mark_started(message: Message) -> None:
            nonlocal started
            started = True
            await send(message)

        try:
            await self._app(scope, receive, send_and_mark_started)
        except Exception as error:
            # After the start of the reply, the connection can only be closed,
            # which the server does when the application raises.
            if started or scope["type"] != "http":
                raise
            http_error = self._error_reporter.report(error)
            headers = scope.get("state", {}).get("reply_headers")
            await error_reply(http_error, headers)(scope, receive, send)
