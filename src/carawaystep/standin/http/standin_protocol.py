"""HTTP protocol of a stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

from uvicorn.protocols.http.h11_impl import H11Protocol

if TYPE_CHECKING:
    import asyncio

# Key in the state of the ASGI scope; the value is a function that closes the
# connection without a response.
ABORT_KEY = "abort_connection"


class StandinProtocol(H11Protocol):
    """HTTP connection that the application can abort without a response.

    ASGI has no message for this, so the abort function is passed in the
    state of the scope.
    """

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Make the abort function available to the application."""
        self.app_state = {**self.app_state, ABORT_KEY: transport.abort}
        super().connection_made(transport)
