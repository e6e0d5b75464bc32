"""Tests of connections whose clients are not trusted."""

from __future__ import annotations

import asyncio
from errno import ENOTCONN
from random import Random
from typing import TYPE_CHECKING
from unittest.mock import patch

from result import Err
from starlette.applications import Starlette
from starlette.responses import PlainTextResponse
from starlette.routing import Route
from testtools import TestCase

from carawaystep.adapters.http.body_reader import read_body
from carawaystep.adapters.http.client_gate import ClientGate
from carawaystep.adapters.http.client_gate import EvictableConnection
from carawaystep.adapters.http.client_gate import Listener
from carawaystep.adapters.http.client_protocol import ClientProtocol
from carawaystep.adapters.http.uvicorn_server import UvicornServer
from carawaystep.intake.client_connection import ClientConnection
from carawaystep.intake.client_connection import ConnectionPhase
from carawaystep.intake.client_limits import ClientLimits
from carawaystep.intake.client_limits import CONNECTION_BYTES
from carawaystep.intake.client_limits import ListenerLimits
from tests.planner.planners import RecordingLog
from tools.port_allocator import LOOPBACK_HOST

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from starlette.requests import Request

_MAX_BODY_BYTES = 100_000
_FRONT = ListenerLimits(max_connections=40, backlog=50, accept_batch=50)
_LIMITS = ClientLimits(50 * CONNECTION_BYTES, _FRONT, _FRONT)
_ORDINARY = b"POST / HTTP/1.1\r\nHost: e\r\nContent-Length: 2\r\n\r\n42"
_UNFINISHED = (
    b"POST / HTTP/1.1\r\nHost: e\r\nContent-Length: 100000\r\n\r\n"
    + b"x" * 99_999
)
_LARGE = b"GET /large HTTP/1.1\r\nHost: e\r\n\r\n"
# Below the size of unsent responses at which the server stops to read.
_LARGE_RESPONSE_BYTES = 10_000
_FRAGMENTS = (
    _ORDINARY,
    _UNFINISHED[:9000],
    b"GET /none HTTP/1.1\r\nHost: e\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"5\r\nabcde\r\n",
    b"0\r\n\r\n",
    b"Expect: 100-continue\r\nConnection: upgrade\r\n\r\n",
    b"a:\r\n" * 200,
)
_FUZZ_SEED = 20261207
_FUZZ_STREAMS = 150
_ANSWER_LIMIT_S = 10.0


class _RecordingGate(ClientGate):
    """Gate that shows the connections of the server."""

    def __init__(self, log: RecordingLog) -> None:
        super().__init__(_LIMITS, log, "edge-0")
        self.protocols: list[ClientProtocol] = []

    def open(
        self, protocol: EvictableConnection, listener: Listener, peer: str
    ) -> ClientConnection:
        """Record the connection."""
        assert isinstance(protocol, ClientProtocol)
        self.protocols.append(protocol)
        return super().open(protocol, listener, peer)


class _Server:
    """Server with a gate, and the bodies that its application received."""

    def __init__(self) -> None:
        self.log = RecordingLog()
        self.gate = _RecordingGate(self.log)
        self.bodies: list[bytes] = []
        self.release = asyncio.Event()
        app = Starlette(
            routes=[
                Route("/", self._handle, methods=["POST"]),
                Route("/slow", self._handle_slowly),
                Route("/large", self._handle_large),
            ]
        )
        listener = Listener("front", _FRONT, self.gate)
        self.server = UvicornServer(app, LOOPBACK_HOST, 0, listener)
        self.server.bind()

    async def _handle(self, request: Request) -> PlainTextResponse:
        body = await read_body(request, _MAX_BODY_BYTES, 5.0)
        if isinstance(body, Err):
            return PlainTextResponse("", body.err_value.status)
        self.bodies.append(body.ok_value)
        return PlainTextResponse("ok")

    async def _handle_slowly(self, _request: Request) -> PlainTextResponse:
        await self.release.wait()
        return PlainTextResponse("ok")

    async def _handle_large(self, _request: Request) -> PlainTextResponse:
        return PlainTextResponse("x" * _LARGE_RESPONSE_BYTES)

    async def connect(
        self, data: bytes
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection and send data."""
        reader, writer = await asyncio.open_connection(
            LOOPBACK_HOST, self.server.port
        )
        writer.write(data)
        return reader, writer

    async def status(self, data: bytes) -> bytes:
        """Return the status of the first response to data."""
        reader, writer = await self.connect(data)
        try:
            async with asyncio.timeout(_ANSWER_LIMIT_S):
                line = await reader.readline()
        finally:
            writer.close()
        return line[9:12]


class ClientProtocolTest(TestCase):
    """Requests of single clients and of crowds."""

    def _run(self, scenario: Callable[[_Server], Awaitable[None]]) -> _Server:
        async def run() -> _Server:
            errors: list[str] = []
            asyncio.get_running_loop().set_exception_handler(
                lambda _, context: errors.append(str(context))
            )
            server = _Server()
            await server.server.start()
            await scenario(server)
            await server.server.stop(1.0)
            await asyncio.sleep(0.1)
            self.assertEqual([], errors)
            return server

        server = asyncio.run(run())
        self.assertEqual(0, server.gate.account.held_bytes)
        return server

    def test_body_within_the_limit_is_served_in_calm(self) -> None:
        """Guards against limits that an ordinary client meets."""

        async def scenario(server: _Server) -> None:
            self.assertEqual(b"200", await server.status(_UNFINISHED + b"x"))

        server = self._run(scenario)
        self.assertEqual([_MAX_BODY_BYTES], [len(b) for b in server.bodies])

    def test_refused_body_is_not_passed_on(self) -> None:
        """Guards against a refusal of a request that runs all the same."""

        async def scenario(server: _Server) -> None:
            crowd = [await server.connect(_UNFINISHED) for _ in range(20)]
            first_lines = await asyncio.gather(
                *(
                    asyncio.wait_for(reader.readline(), _ANSWER_LIMIT_S)
                    for reader, _ in crowd
                )
            )
            self.assertIn(b"HTTP/1.1 503 Service Unavailable\r\n", first_lines)
            self.assertEqual(b"200", await server.status(_ORDINARY))
            for _, writer in crowd:
                writer.close()

        server = self._run(scenario)
        self.assertEqual([b"42"], server.bodies)
        self.assertIn(
            "clients.limited", [event for event, _ in server.log.events]
        )

    def test_connection_is_kept_after_an_unused_body(self) -> None:
        """Guards against a refusal between two requests."""

        async def scenario(server: _Server) -> None:
            body = b"x" * 50_000
            head = (
                b"GET / HTTP/1.1\r\nHost: e\r\nContent-Length: 50000\r\n\r\n"
            )
            reader, writer = await server.connect(head + body[:-1])
            self.assertIn(b"405", await reader.readline())
            writer.write(body[-1:])
            await asyncio.sleep(0.1)
            connections = server.gate.account.connections("front")
            self.assertEqual(
                [ConnectionPhase.NEXT_REQUEST], [c.phase for c in connections]
            )
            writer.close()

        self._run(scenario)

    def test_request_that_was_passed_on_waits_for_its_answer(self) -> None:
        """Guards against refusals of requests that take effect all the same.

        A request that ends its connection or offers another protocol leaves
        the parser in states of their own.
        """

        async def scenario(server: _Server) -> None:
            for fields in (
                b"",
                b"Connection: close\r\n",
                b"Connection: Upgrade\r\nUpgrade: h2c\r\n",
            ):
                server.release.clear()
                head = b"GET /slow HTTP/1.1\r\nHost: e\r\n" + fields
                reader, writer = await server.connect(head + b"\r\n")
                await asyncio.sleep(0.1)
                connections = server.gate.account.connections("front")
                self.assertEqual(
                    [ConnectionPhase.ANSWER], [c.phase for c in connections]
                )
                server.release.set()
                self.assertIn(b"200", await reader.readline())
                writer.close()
                await asyncio.sleep(0.1)

        self._run(scenario)

    def test_data_after_the_last_request_is_ignored(self) -> None:
        """Guards against a refusal of a request that was passed on."""

        async def scenario(server: _Server) -> None:
            reader, writer = await server.connect(
                b"GET /slow HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n"
            )
            await asyncio.sleep(0.1)
            writer.write(b"\r\n")
            await asyncio.sleep(0.1)
            server.release.set()
            self.assertIn(b"200", await reader.readline())
            writer.close()

        self._run(scenario)

    def test_idle_client_with_unread_responses_is_closed(self) -> None:
        """Guards against sockets that stay open once they are closed.

        A closed transport waits until the client has read what is unsent.
        """
        closes = (
            ClientProtocol.timeout_keep_alive_handler,
            ClientProtocol.evict,
        )

        async def scenario(server: _Server) -> None:
            for close in closes:
                _, writer = await server.connect(b"")
                writer.transport.pause_reading()
                await asyncio.sleep(0.05)
                protocol = server.gate.protocols[-1]
                async with asyncio.timeout(_ANSWER_LIMIT_S):
                    while not protocol.transport.get_write_buffer_size():
                        writer.write(_LARGE)
                        await asyncio.sleep(0.01)
                connections = server.gate.account.connections("front")
                self.assertEqual(
                    [ConnectionPhase.NEXT_REQUEST],
                    [c.phase for c in connections],
                )
                close(protocol)
                await asyncio.sleep(0.1)
                self.assertNotIn(protocol, protocol.connections)
                writer.close()

        self._run(scenario)

    def test_reset_during_a_refusal_ends_only_that_connection(self) -> None:
        """Guards against an error in the connection that takes the place."""

        async def scenario(server: _Server) -> None:
            _, writer = await server.connect(_UNFINISHED)
            await asyncio.sleep(0.1)
            (protocol,) = server.gate.protocols
            reset = OSError(ENOTCONN, "reset by the client")
            with patch.object(
                protocol.transport, "write_eof", side_effect=reset
            ):
                protocol.evict()
            await asyncio.sleep(0.1)
            self.assertNotIn(protocol, protocol.connections)
            writer.close()

        self._run(scenario)

    def test_oversized_header_is_refused(self) -> None:
        """Guards against header fields that take much memory once parsed."""

        async def scenario(server: _Server) -> None:
            head = b"GET / HTTP/1.1\r\nHost: e\r\n"
            for fields in (b"a:\r\n" * 200, b"a: " + b"x" * 20_000):
                status = await server.status(head + fields + b"\r\n\r\n")
                self.assertEqual(b"431", status)

        self._run(scenario)

    def test_random_bytes_leave_the_server_in_service(self) -> None:
        """Guards against requests that end the server or keep its room.

        Requests are cut, joined and repeated at random.
        """
        random = Random(_FUZZ_SEED)

        async def send_random_bytes(server: _Server) -> None:
            data = bytearray()
            for _ in range(random.randrange(1, 8)):
                fragment = random.choice(_FRAGMENTS) * random.randrange(1, 4)
                data += fragment[: random.randrange(1, 2 * len(fragment))]
            _, writer = await server.connect(bytes(data))
            await asyncio.sleep(random.random() / 10)
            if random.random() < 0.5:
                writer.transport.abort()
            writer.close()

        async def scenario(server: _Server) -> None:
            for _ in range(_FUZZ_STREAMS // 10):
                await asyncio.gather(
                    *(send_random_bytes(server) for _ in range(10))
                )
            self.assertEqual(b"200", await server.status(_ORDINARY))

        self._run(scenario)
