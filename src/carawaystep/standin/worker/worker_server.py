"""HTTP server of one stand-in worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.standin.http.standin_protocol import StandinProtocol
from carawaystep.standin.http.standin_server import StandinServer

if TYPE_CHECKING:
    import asyncio

    from starlette.types import ASGIApp
    from uvicorn.protocols.http.h11_impl import H11Protocol

    from carawaystep.standin.worker.standin_worker import StandinWorker


class WorkerServer(StandinServer):
    """Server whose connections the worker counts and may refuse."""

    def __init__(
        self, app: ASGIApp, host: str, port: int, worker: StandinWorker
    ) -> None:
        """Create a server that does not listen yet.

        :param app: ASGI application
        :param host: IP address to listen on
        :param port: TCP port to listen on
        :param worker: admits or refuses connections
        """
        self._worker = worker
        super().__init__(app, host, port)

    def _protocol_class(self) -> type[H11Protocol]:
        worker = self._worker

        class CountedProtocol(StandinProtocol):
            """Connection that the worker has accepted or refused."""

            _accepted = False

            def connection_made(  # type: ignore[override]
                self, transport: asyncio.Transport
            ) -> None:
                self._accepted = worker.try_open_connection()
                if not self._accepted:
                    transport.abort()
                    return
                super().connection_made(transport)

            def connection_lost(self, exc: Exception | None) -> None:
                if not self._accepted:
                    return
                worker.close_connection()
                super().connection_lost(exc)

        return CountedProtocol
