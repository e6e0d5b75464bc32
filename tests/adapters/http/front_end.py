"""HTTP front end of a fake entry, called in memory or over a socket."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
import json
import socket
from typing import TYPE_CHECKING

import uvicorn

from carawaystep.access.grant import Grant
from carawaystep.access.role import Role
from carawaystep.access.token_table import TokenTable
from carawaystep.adapters.http.application import create_app
from carawaystep.adapters.metrics.process_metrics import ProcessMetrics
from carawaystep.settings.entry_settings import EntrySettings
from tests.adapters.http.fake_entry_service import FakeEntryService

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from typing import Any

    from starlette.types import Message

    from carawaystep.errors.broken_invariant import BrokenInvariant

CALLER = "caller-token-0000"
OTHER_SERVICE_CALLER = "limited-token-000"
OPERATOR = "operator-token-00"
ADMIN = "admin-token-00000"

BODY_TIMEOUT_S = 0.3

_TOKENS = (
    (CALLER, Grant("desk", frozenset((Role.CALLER,)))),
    (
        OTHER_SERVICE_CALLER,
        Grant("desk", frozenset((Role.CALLER,)), frozenset(("x",))),
    ),
    (OPERATOR, Grant("desk", frozenset((Role.OPERATOR,)))),
    (ADMIN, Grant("*", frozenset((Role.OPERATOR,)))),
)


class HttpReply:
    """Reply, built from the ASGI messages of the application."""

    def __init__(self, messages: list[Message]) -> None:
        self.status: int = messages[0]["status"]
        self.headers = {
            key.decode(): value.decode()
            for key, value in messages[0]["headers"]
        }
        self.body = b"".join(m.get("body", b"") for m in messages[1:])

    @property
    def json(self) -> Any:
        return json.loads(self.body)


class FrontEnd:
    """The real ASGI application with a fake entry service."""

    def __init__(self) -> None:
        self.service = FakeEntryService()
        self.metrics = ProcessMetrics()
        self.broken_invariants: list[BrokenInvariant] = []
        settings = EntrySettings.model_validate(
            {
                "name": "e1",
                "availability_zone": "arima",
                "http": {"host": "127.0.0.1", "port": 1},
                "advertised_url": "http://127.0.0.1:1",
                "peer_address": "tcp://127.0.0.1:1",
                "platform": {"url": "http://127.0.0.1:1"},
                "access": {"tokens_file": "tokens.yaml"},
                "requests": {"body_timeout_s": BODY_TIMEOUT_S},
            }
        )
        self.app = create_app(
            self.service,
            TokenTable(_TOKENS),
            settings,
            self.metrics,
            self.broken_invariants.append,
        )

    async def call(
        self,
        method: str,
        path: str,
        token: str | None = CALLER,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> HttpReply:
        """Call the application without a socket.

        :param path: path with query
        :param token: bearer token, None to omit the Authorization header
        """
        pairs = [(k.lower().encode(), v.encode()) for k, v in headers]
        if token is not None:
            pairs.append((b"authorization", f"Bearer {token}".encode()))
        if body:
            pairs.append((b"content-length", str(len(body)).encode()))
        path, _, query = path.partition("?")
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": query.encode(),
            "headers": pairs,
        }
        sent: list[Message] = []

        async def receive() -> Message:
            return {"type": "http.request", "body": body}

        async def send(message: Message) -> None:
            sent.append(message)

        await self.app(scope, receive, send)
        return HttpReply(sent)

    @asynccontextmanager
    async def listening(self) -> AsyncIterator[int]:
        """Serve on a loopback port; the context value is its number."""
        config = uvicorn.Config(
            self.app,
            loop="asyncio",
            http="h11",
            ws="none",
            lifespan="off",
            log_config=None,
        )
        server = uvicorn.Server(config)
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            # Connections wait in the backlog until the server accepts them,
            # so that callers need not wait for its start.
            listener.listen()
            task = asyncio.create_task(server._serve([listener]))
            try:
                yield listener.getsockname()[1]
            finally:
                server.should_exit = True
                await task
