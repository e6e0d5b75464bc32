"""Tests of the sockets of UvicornServer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from starlette.applications import Starlette
from starlette.responses import PlainTextResponse
from starlette.routing import Route
from testtools import TestCase

from tests.adapters.http.bound_server import bind_server
from tools.port_allocator import LOOPBACK_HOST

if TYPE_CHECKING:
    from starlette.requests import Request

_CALLS = 20
# A delayed ACK takes 40 ms on Linux; a call without one takes about 1 ms.
_MAX_TOTAL_S = _CALLS * 0.020


async def _answer(request: Request) -> PlainTextResponse:
    return PlainTextResponse("42")


class UvicornServerTest(TestCase):
    """Tests the latency of replies on a kept-alive connection."""

    def test_replies_do_not_wait_for_delayed_acks(self) -> None:
        """Guards against replies that take 40 ms for lack of TCP_NODELAY.

        Head and body are sent separately, so that without it the body waits
        for the delayed ACK of the head.
        """
        asyncio.run(self._call_repeatedly())

    async def _call_repeatedly(self) -> None:
        app = Starlette(routes=[Route("/", _answer)])
        server = bind_server(app)
        await server.start()
        reader, writer = await asyncio.open_connection(
            LOOPBACK_HOST, server.port
        )
        loop = asyncio.get_running_loop()
        start = loop.time()
        for _ in range(_CALLS):
            writer.write(b"GET / HTTP/1.1\r\nHost: e\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n42")
        elapsed_s = loop.time() - start
        writer.close()
        await server.stop(1.0)
        self.assertTrue(elapsed_s < _MAX_TOTAL_S, f"{elapsed_s:.3f} s")
