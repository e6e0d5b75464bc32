"""Tests of the HTTP client against a misbehaving server."""

from __future__ import annotations

import asyncio
import gzip
import socket
from typing import TYPE_CHECKING
from unittest.mock import patch

from result import Err
from result import Ok
from testtools import TestCase

from carawaystep.adapters.http_client import http_client
from carawaystep.adapters.http_client.http_client import HttpClient
from carawaystep.adapters.http_client.http_failure import HttpNotSent
from carawaystep.adapters.http_client.http_failure import HttpOutcomeUnknown
from tests.adapters.http_client.scripted_server import answer
from tests.adapters.http_client.scripted_server import CLOSE
from tests.adapters.http_client.scripted_server import ScriptedServer
from tests.adapters.http_client.scripted_server import Step

if TYPE_CHECKING:
    from result import Result

    from carawaystep.adapters.http_client.http_failure import HttpFailure
    from carawaystep.adapters.http_client.http_response import HttpResponse

METHODS = ("POST", "GET", "PUT", "DELETE")
_HEAD = b"HTTP/1.1 200 OK\r\n"
_CUT_GZIP = gzip.compress(b"abc" * 1000)[:-12]


async def _call(
    client: HttpClient,
    method: str = "POST",
    timeout_s: float = 2.0,
    **headers: str,
) -> Result[HttpResponse, HttpFailure]:
    body = None if method == "GET" else b"{}"
    return await client.request(method, "/x", timeout_s, headers, body)


def _kind(result: Result[HttpResponse, HttpFailure]) -> object:
    if isinstance(result, Ok):
        return result.ok_value.body
    return type(result.err_value)


class HttpClientTest(TestCase):
    """Requests are sent at most once and answers are whole."""

    def _run(
        self, *scripts: list[Step], method: str = "POST", calls: int = 2
    ) -> tuple[list[object], list[int], int]:
        """Return results, connection of each request, and open count."""

        async def run() -> tuple[list[object], list[int], int]:
            async with ScriptedServer(*scripts) as server:
                client = HttpClient(server.url, 2)
                results = []
                for _ in range(calls):
                    result = await _call(client, method, timeout_s=0.2)
                    results.append(_kind(result))
                    await asyncio.sleep(0.3 if len(scripts[0]) > 2 else 0.02)
                await client.close()
                await asyncio.sleep(0.02)
                return results, [seen[0] for seen in server.seen], server.open

        return asyncio.run(run())

    def test_no_resend_on_a_kept_alive_connection(self) -> None:
        """Guards against aiosonic's silent resend of idempotent methods."""
        for method in METHODS:
            first: list[Step] = [answer(b"a")]
            results, seen, _ = self._run(
                first, [CLOSE], [answer(b"resent")], method=method
            )
            self.assertEqual([b"a", HttpOutcomeUnknown], results, method)
            self.assertEqual([1, 1], seen, method)

    def test_no_resend_on_a_new_connection(self) -> None:
        """Guards against a resend when the first answer is lost."""
        for method in METHODS:
            results, seen, _ = self._run([CLOSE], method=method, calls=1)
            self.assertEqual([HttpOutcomeUnknown], results, method)
            self.assertEqual([1], seen, method)

    def test_late_answer_reaches_no_other_call(self) -> None:
        """Guards against aiosonic's reuse of a timed-out connection."""
        late: list[Step] = [0.25, answer(b"late"), 0.0]
        for method in METHODS:
            results, seen, _ = self._run(late, [answer(b"own")], method=method)
            self.assertEqual([HttpOutcomeUnknown, b"own"], results, method)
            self.assertEqual([1, 2], seen, method)

    def test_late_answer_after_a_good_one(self) -> None:
        """Guards against reuse when the connection was kept alive before."""

        async def run() -> None:
            late: list[Step] = [0.2, answer(b"late")]
            async with ScriptedServer([answer(b"a")], late) as server:
                client = HttpClient(server.url, 1)
                self.assertEqual(b"a", _kind(await _call(client)))
                result = await _call(client, timeout_s=0.1)
                self.assertEqual(HttpOutcomeUnknown, _kind(result))
                await asyncio.sleep(0.2)
                self.assertEqual(b"more", _kind(await _call(client)))
                self.assertEqual([1, 1, 2], [seen[0] for seen in server.seen])
                await client.close()

        asyncio.run(run())

    def test_cancelled_call_closes_its_connection(self) -> None:
        """Guards against the answer of a cancelled call."""

        async def run() -> None:
            late: list[Step] = [0.1, answer(b"late")]
            async with ScriptedServer([answer(b"a")], late) as server:
                client = HttpClient(server.url, 1)
                await _call(client)
                task = asyncio.ensure_future(_call(client))
                await asyncio.sleep(0.05)
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                await asyncio.sleep(0.1)
                self.assertEqual(b"more", _kind(await _call(client)))
                await client.close()

        asyncio.run(run())

    def test_answers_that_are_not_whole(self) -> None:
        """Guards against truncated or ambiguous answers passed on."""
        answers = {
            "short body": _HEAD + b"Content-Length: 9\r\n\r\nabc",
            "headers cut in a line": _HEAD + b"Content-Le",
            "headers cut after a line": _HEAD + b"Content-Length: 0\r\n",
            "status line only": _HEAD,
            "status line cut": b"HTTP/1.1 20",
            "nothing": b"",
            "no length": _HEAD + b"\r\nabc",
            "chunks cut": _HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            "chunk cut": _HEAD + b"Transfer-Encoding: chunked\r\n\r\n9\r\nabc",
            "last chunk cut": _HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
            "two lengths": _HEAD
            + b"Content-Length: 9\r\nContent-Length: 3\r\n\r\nabc",
            "length and chunks": _HEAD + b"Content-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            "negative length": _HEAD + b"Content-Length: -3\r\n\r\nabc",
            "length over the limit": _HEAD
            + b"Content-Length: 99999999999\r\n\r\nabc",
            "encoded body cut": _HEAD
            + b"Content-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"%x\r\n%s\r\n0\r\n\r\n" % (len(_CUT_GZIP), _CUT_GZIP),
            "no HTTP": b"NONSENSE\r\n\r\n",
            "interim": answer(b"", 100) + answer(b"abc"),
        }
        for name, data in answers.items():
            results, seen, left_open = self._run([data, CLOSE], calls=1)
            self.assertEqual([HttpOutcomeUnknown], results, name)
            self.assertEqual([1], seen, name)
            self.assertEqual(0, left_open, name)

    def test_redirects_are_not_followed(self) -> None:
        """Guards against a second request on behalf of the server."""
        for status in (302, 307):
            redirect = answer(b"moved", status, Location="/y")
            results, seen, _ = self._run([redirect], calls=1)
            self.assertEqual([b"moved"], results)
            self.assertEqual([1], seen)

    def test_stray_bytes_are_no_answer(self) -> None:
        """Guards against bytes after an answer taken for the next one."""
        results, seen, _ = self._run(
            [answer(b"a") + answer(b"stray")], [answer(b"own")]
        )
        self.assertEqual([b"a", b"own"], results)
        self.assertEqual([1, 2], seen)

    def test_connection_closed_while_idle(self) -> None:
        """Guards against an unknown result where a new connection works."""
        results, seen, _ = self._run([answer(b"a"), CLOSE], [answer(b"b")])
        self.assertEqual([b"a", b"b"], results)
        self.assertEqual([1, 2], seen)

    def test_connection_closed_just_before_a_call(self) -> None:
        """Guards against a close that the event loop has not yet seen."""

        async def run() -> None:
            loop = asyncio.get_running_loop()
            with socket.create_server(("127.0.0.1", 0)) as listener:
                listener.setblocking(False)
                port = listener.getsockname()[1]
                client = HttpClient(f"http://127.0.0.1:{port}", 1)
                first = asyncio.ensure_future(_call(client))
                server, _ = await loop.sock_accept(listener)
                with server:
                    await loop.sock_recv(server, 65536)
                    await loop.sock_sendall(server, answer(b"a"))
                    await first
            # Nothing has been awaited since both sockets closed.
            self.assertEqual(HttpNotSent, _kind(await _call(client)))
            await client.close()

        asyncio.run(run())

    def test_many_calls_on_one_channel(self) -> None:
        """Guards against a failure when aiosonic renews a connection."""

        async def run() -> None:
            async with ScriptedServer() as server:
                client = HttpClient(server.url, 1)
                for _ in range(1005):
                    self.assertEqual(b"more", _kind(await _call(client)))
                await client.close()

        asyncio.run(run())

    def test_expired_connections_are_closed(self) -> None:
        """Guards against sockets kept open for good after a flood."""

        async def run() -> None:
            async with ScriptedServer() as server:
                client = HttpClient(server.url, 4)
                await asyncio.gather(*[_call(client) for _ in range(4)])
                self.assertEqual(4, client.open_connections)
                with patch.object(http_client, "MAX_IDLE_S", 0.0):
                    await _call(client)
                    self.assertEqual(1, client.open_connections)
                await asyncio.sleep(0.02)
                self.assertEqual(1, server.open)
                await client.close()

        asyncio.run(run())

    def test_keep_alive(self) -> None:
        """Guards against a connection for each call, and against leaks."""
        results, seen, left_open = self._run([answer(b"a")], [answer(b"b")])
        self.assertEqual([b"a", b"b"], results)
        self.assertEqual([1, 1], seen)
        self.assertEqual(0, left_open)

    def test_nothing_was_sent(self) -> None:
        """Guards against an unknown result when no byte left."""

        async def run() -> None:
            with socket.socket() as full, socket.socket() as first:
                full.bind(("127.0.0.1", 0))
                refused = f"http://127.0.0.1:{full.getsockname()[1]}"
                client = HttpClient(refused, 1)
                self.assertEqual(HttpNotSent, _kind(await _call(client)))
                # With a full backlog the kernel leaves connects unanswered.
                full.listen(0)
                first.connect(full.getsockname())
                result = await _call(client, timeout_s=0.2)
                self.assertEqual(HttpNotSent, _kind(result))
                await client.close()
                self.assertEqual(HttpNotSent, _kind(await _call(client)))

        asyncio.run(run())

    def test_header_with_line_break(self) -> None:
        """Guards against headers smuggled in through a value."""

        async def run() -> None:
            async with ScriptedServer() as server:
                client = HttpClient(server.url, 1)
                for sent in range(2):
                    result = await _call(client, X="a\r\nY: b")
                    self.assertEqual(HttpNotSent, _kind(result))
                    self.assertEqual(sent, len(server.seen))
                    await _call(client)
                await client.close()

        asyncio.run(run())

    def test_limit_of_connections(self) -> None:
        """Guards against more connections than the server takes."""

        async def run() -> None:
            slow: list[Step] = [0.05, answer(b"a")]
            async with ScriptedServer(*[slow] * 20) as server:
                client = HttpClient(server.url, 1)
                for limit in (3, 1, 2):
                    client.limit_connections(limit)
                    await asyncio.sleep(0.02)
                    server.peak = server.open
                    await asyncio.gather(*[_call(client) for _ in range(6)])
                    self.assertEqual(limit, server.peak)
                result = await asyncio.gather(
                    *[_call(client, timeout_s=0.04) for _ in range(3)]
                )
                kinds = {_kind(item) for item in result}
                self.assertEqual({HttpOutcomeUnknown, HttpNotSent}, kinds)
                await client.close()

        asyncio.run(run())

    def test_close_ends_calls_under_way(self) -> None:
        """Guards against calls that hang after close."""

        async def run() -> None:
            async with ScriptedServer([5.0]) as server:
                client = HttpClient(server.url, 1)
                task = asyncio.ensure_future(_call(client))
                await asyncio.sleep(0.05)
                await client.close()
                result = await asyncio.wait_for(task, 0.5)
                self.assertIsInstance(result, Err)
                self.assertEqual(HttpOutcomeUnknown, _kind(result))
                self.assertEqual(0, client.open_connections)

        asyncio.run(run())
