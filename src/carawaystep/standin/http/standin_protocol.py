"""HTTP connections of a stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

from uvicorn.protocols.http.h11_impl import H11Protocol

if TYPE_CHECKING:
    import asyncio

# Key in the ASGI scope's state for the function that closes the connection
# without an answer.
ABORT_KEY = "abort_connection"


class StandinProtocol(H11Protocol):
    """A connection that the application can close without an answer.

    ASGI has no message for this, so the function travels in the state of
    the scope.
    """

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Pass the connection's abort function to the application."""
        self.app_state = {**self.app_state, ABORT_KEY: transport.abort}
        super().connection_made(transport)
