"""Orderly close after replies that are sent before the body has arrived."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.adapters.http.exchange import Exchange

if TYPE_CHECKING:
    from starlette.types import ASGIApp
    from starlette.types import Receive
    from starlette.types import Scope
    from starlette.types import Send


class LingeringCloseMiddleware:
    """Runs each call through an :class:`Exchange`."""

    def __init__(self, app: ASGIApp) -> None:
        """Wrap an application.

        :param app: ASGI application
        """
        self._app = app

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Run the application with the callables of an exchange."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        exchange = Exchange(scope, receive, send)
        await self._app(scope, exchange.receive, exchange.send)
