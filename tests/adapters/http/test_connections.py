"""Tests of the front end on broken and slow connections."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from time import monotonic
from typing import TYPE_CHECKING

from testtools import TestCase

from tests.adapters.http.front_end import BODY_TIMEOUT_S
from tests.adapters.http.front_end import CALLER
from tests.adapters.http.front_end import FrontEnd

if TYPE_CHECKING:
    from asyncio import StreamReader
    from asyncio import StreamWriter
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

_TEST_TIMEOUT_S = 10.0
# Includes the end of the headers, because the Date header may contain "42".
_REPLY_END = b"\r\n\r\n42"
_CHUNKED = "Transfer-Encoding: chunked"


def _head(*headers: str) -> bytes:
    lines = [
        "POST /v1/services/bookings/requests HTTP/1.1",
        "Host: entry",
        f"Authorization: Bearer {CALLER}",
        *headers,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


@asynccontextmanager
async def _connection(
    front_end: FrontEnd,
) -> AsyncIterator[tuple[StreamReader, StreamWriter]]:
    async with asyncio.timeout(_TEST_TIMEOUT_S), front_end.listening() as port:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            yield reader, writer
        finally:
            writer.close()


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(_TEST_TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


class ConnectionsTest(TestCase):
    """Tests which requests run and which replies the caller gets."""

    def _run(self, scenario: Callable[[FrontEnd], Awaitable[None]]) -> None:
        async def main() -> None:
            await scenario(FrontEnd())

        asyncio.run(main())

    def test_truncated_bodies_are_not_dispatched(self) -> None:
        """Guards against requests that run with a truncated body."""

        async def scenario(front_end: FrontEnd) -> None:
            for sent in (
                _head("Content-Length: 10") + b"12345",
                _head(_CHUNKED) + _chunk(b"12345"),
            ):
                for half_close in (False, True):
                    async with _connection(front_end) as (reader, writer):
                        writer.write(sent)
                        await writer.drain()
                        if half_close:
                            writer.write_eof()
                            await reader.read()
                        else:
                            writer.close()
                        await asyncio.sleep(0.05)
            self.assertEqual([], front_end.service.started_requests)

        self._run(scenario)

    def test_body_with_two_lengths_is_refused(self) -> None:
        """Guards against request smuggling with two body lengths."""

        async def scenario(front_end: FrontEnd) -> None:
            async with _connection(front_end) as (reader, writer):
                body = _chunk(b"x") + b"0\r\n\r\n"
                smuggled_call = _head("Content-Length: 1") + b"y"
                writer.write(_head("Content-Length: 5", _CHUNKED) + body)
                writer.write(smuggled_call)
                reply = await reader.read()
                self.assertIn(b" 400 ", reply)
                self.assertEqual(1, reply.count(b"HTTP/1.1"))
            self.assertEqual([], front_end.service.started_requests)

        self._run(scenario)

    def test_slow_body_is_refused_after_the_timeout(self) -> None:
        """Guards against a connection kept open by a slow body."""

        async def scenario(front_end: FrontEnd) -> None:
            started_at = monotonic()
            async with _connection(front_end) as (reader, writer):
                writer.write(_head("Content-Length: 10") + b"1")
                reply = await reader.readuntil(b"}")
                self.assertIn(b" 408 ", reply)
                self.assertIn(b"carawaystep-outcome: not-run", reply)
                elapsed_s = monotonic() - started_at
                self.assertGreaterEqual(elapsed_s, BODY_TIMEOUT_S)
                self.assertLess(elapsed_s, BODY_TIMEOUT_S + 1.0)
                self.assertEqual(b"", await reader.read())
            self.assertEqual([], front_end.service.started_requests)

        self._run(scenario)

    def test_deadline_counts_from_the_headers(self) -> None:
        """Guards against a run that starts after the caller gave up."""

        async def scenario(front_end: FrontEnd) -> None:
            async with _connection(front_end) as (reader, writer):
                deadline = "Carawaystep-Deadline: 0.05"
                writer.write(_head("Content-Length: 2", deadline) + b"1")
                await asyncio.sleep(0.1)
                writer.write(b"2")
                reply = await reader.readuntil(b"}")
                self.assertIn(b" 504 ", reply)
                self.assertIn(b"carawaystep-outcome: not-run", reply)
            self.assertEqual([], front_end.service.started_requests)

        self._run(scenario)

    def test_oversized_bodies_are_refused_before_their_end(self) -> None:
        """Guards against memory used for a body that is refused."""

        async def scenario(front_end: FrontEnd) -> None:
            for sent in (
                _head("Content-Length: 1001"),
                _head("Content-Length: 1001", "Expect: 100-continue"),
                _head(_CHUNKED) + _chunk(b"x" * 600) + _chunk(b"x" * 401),
            ):
                async with _connection(front_end) as (reader, writer):
                    started_at = monotonic()
                    writer.write(sent)
                    reply = await reader.readuntil(b"}")
                    self.assertIn(b" 413 ", reply)
                    self.assertIn(b"connection: close", reply)
                    self.assertLess(monotonic() - started_at, BODY_TIMEOUT_S)
            self.assertEqual([], front_end.service.started_requests)

        self._run(scenario)

    def test_refusal_reaches_a_caller_that_keeps_sending(self) -> None:
        """Guards against a connection reset that loses the reply."""

        async def scenario(front_end: FrontEnd) -> None:
            size = 8_000_000
            async with _connection(front_end) as (reader, writer):
                writer.write(_head(f"Content-Length: {size}"))
                writer.write(b"x" * size)
                await writer.drain()
                reply = await reader.read()
                self.assertIn(b" 413 ", reply)
                self.assertIn(b"body-too-large", reply)

        self._run(scenario)

    def test_body_at_the_limit_is_dispatched_once(self) -> None:
        """Guards against an off-by-one error in the size limit."""

        async def scenario(front_end: FrontEnd) -> None:
            chunks = _chunk(b"x" * 500) + _chunk(b"x" * 500) + b"0\r\n\r\n"
            for sent in (
                _head("Content-Length: 1000") + b"x" * 1000,
                _head(_CHUNKED) + chunks,
            ):
                async with _connection(front_end) as (reader, writer):
                    writer.write(sent)
                    reply = await reader.readuntil(_REPLY_END)
                    self.assertIn(b" 200 ", reply)
            bodies = [call.body for call in front_end.service.started_requests]
            self.assertEqual([b"x" * 1000] * 2, bodies)

        self._run(scenario)

    def test_run_continues_after_caller_disconnects(self) -> None:
        """Guards against an idempotency key that stays claimed.

        A run that is cancelled with the caller's connection would leave its
        key claimed.
        """

        async def scenario(front_end: FrontEnd) -> None:
            front_end.service.gate.clear()
            async with _connection(front_end) as (_, writer):
                writer.write(_head("Content-Length: 1") + b"x")
                await _wait_until(
                    lambda: bool(front_end.service.started_requests)
                )
                writer.close()
                await asyncio.sleep(0.05)
                front_end.service.gate.set()
                await _wait_until(
                    lambda: front_end.service.finished_requests == 1
                )

        self._run(scenario)

    def test_run_continues_after_connection_task_is_cancelled(self) -> None:
        """Guards against a run that a server shutdown cancels."""

        async def scenario(front_end: FrontEnd) -> None:
            front_end.service.gate.clear()
            path = "/v1/services/bookings/requests"
            task = asyncio.create_task(front_end.call("POST", path, body=b"x"))
            await _wait_until(lambda: bool(front_end.service.started_requests))
            task.cancel()
            await asyncio.wait({task})
            self.assertTrue(task.cancelled())
            front_end.service.gate.set()
            await _wait_until(lambda: front_end.service.finished_requests == 1)

        self._run(scenario)

    def test_connection_is_reused(self) -> None:
        """Guards against a new connection for each request."""

        async def scenario(front_end: FrontEnd) -> None:
            async with _connection(front_end) as (reader, writer):
                for number in range(1, 4):
                    writer.write(_head("Content-Length: 1") + b"x")
                    await reader.readuntil(_REPLY_END)
                    self.assertEqual(
                        number, front_end.service.finished_requests
                    )

        self._run(scenario)
