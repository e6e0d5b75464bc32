"""uvicorn server that runs in an existing event loop."""

from __future__ import annotations

import asyncio
import contextlib
from functools import partial
import socket
from typing import cast
from typing import TYPE_CHECKING

from uvicorn import Config
from uvicorn import Server
from uvicorn.protocols.http.h11_impl import H11Protocol

from carawaystep.adapters.http.client_protocol import ClientProtocol

if TYPE_CHECKING:
    from starlette.types import ASGIApp
    from starlette.types import Receive
    from starlette.types import Scope
    from starlette.types import Send

    from carawaystep.adapters.http.client_gate import Listener

# A client that sends a request while the server closes an idle connection
# cannot tell whether the request ran. A long timeout makes this rare.
_KEEP_ALIVE_TIMEOUT_S = 75
_LISTEN_BACKLOG = 1024
# What a client sends or does not read stays in these buffers, which would
# otherwise grow to megabytes.
_RECEIVE_BUFFER_BYTES = 16_384
_SEND_BUFFER_BYTES = 65_536


class UvicornServer:
    """Serves one ASGI application on one address.

    It installs no signal handlers and runs no periodic task: it does not use
    uvicorn's main loop, which wakes up ten times a second.
    """

    def __init__(
        self,
        app: ASGIApp,
        host: str,
        port: int,
        listener: Listener | None = None,
    ) -> None:
        """Create a server that does not listen yet.

        :param app: ASGI application
        :param host: IPv4 or IPv6 address to listen on
        :param port: TCP port to listen on, 0 for one that is free
        :param listener: limits of the clients, None when they are trusted
        """
        self._app = app
        self._host = host
        self._port = port
        self._limited_listener = listener
        self._listener: socket.socket | None = None
        self._aborting = False
        self._server = Server(
            Config(
                self._run_app,
                http=self._protocol_class(),
                ws="none",
                lifespan="off",
                interface="asgi3",
                log_config=None,
                log_level="error",
                access_log=False,
                proxy_headers=False,
                server_header=False,
                date_header=False,
                timeout_keep_alive=_KEEP_ALIVE_TIMEOUT_S,
                backlog=self._accept_batch,
            )
        )

    @property
    def port(self) -> int:
        """Return the TCP port, the assigned one after :meth:`bind`."""
        return self._port

    def bind(self) -> None:
        """Bind the address, so that connections wait for :meth:`start`.

        :raises OSError: the address cannot be bound
        """
        listener = self._create_listener()
        self._port = listener.getsockname()[1]
        self._listener = listener

    async def start(self) -> None:
        """Bind the address unless it is bound and accept connections.

        :raises OSError: the address cannot be bound
        """
        listener, self._listener = self._listener, None
        if listener is None:
            listener = self._create_listener()
        config = self._server.config
        config.load()
        self._server.lifespan = config.lifespan_class(config)
        await self._server.startup(sockets=[listener])
        # asyncio has set the backlog to the number that it accepts at once.
        listener.listen(self._backlog)

    async def stop(self, grace_s: float) -> None:
        """Stop listening and close all connections.

        :param grace_s: seconds to wait for calls in progress; connections
            that are still open afterwards are aborted
        """
        if not self._server.started:
            if self._listener is not None:
                self._listener.close()
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace_s):
                await self._server.shutdown()
        self._aborting = True
        state = self._server.server_state
        for connection in list(state.connections):
            if connection.transport is not None:
                connection.transport.abort()
        tasks = list(state.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_app(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        try:
            await self._app(scope, receive, send)
        except asyncio.CancelledError:
            # uvicorn would log the cancellation as an application error.
            if not self._aborting:
                raise

    def _protocol_class(self) -> type[H11Protocol]:
        if self._limited_listener is None:
            return H11Protocol
        # uvicorn only calls it.
        return cast(
            "type[H11Protocol]",
            partial(ClientProtocol, self._limited_listener),
        )

    @property
    def _backlog(self) -> int:
        """Return the number of connections that wait to be accepted."""
        if self._limited_listener is None:
            return _LISTEN_BACKLOG
        return self._limited_listener.limits.backlog

    @property
    def _accept_batch(self) -> int:
        """Return the number of connections that are accepted at once."""
        if self._limited_listener is None:
            return _LISTEN_BACKLOG
        return self._limited_listener.limits.accept_batch

    def _create_listener(self) -> socket.socket:
        family = socket.AF_INET6 if ":" in self._host else socket.AF_INET
        # asyncio sets TCP_NODELAY only on sockets with an explicit protocol.
        # Without it, each reply waited some 40 ms for a delayed ACK.
        listener = socket.socket(
            family, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if self._limited_listener is not None:
                self._limit_buffers(listener)
            listener.bind((self._host, self._port))
            listener.listen(self._backlog)
            listener.setblocking(False)
        except OSError:
            listener.close()
            raise
        return listener

    @staticmethod
    def _limit_buffers(listener: socket.socket) -> None:
        """Limit the buffers of the connections that a socket accepts."""
        for option, size in (
            (socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES),
            (socket.SO_SNDBUF, _SEND_BUFFER_BYTES),
        ):
            listener.setsockopt(socket.SOL_SOCKET, option, size)
