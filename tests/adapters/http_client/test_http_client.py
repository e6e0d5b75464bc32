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
from carawaystep.adapters.http_client.body_timeout import BodyTimeout
from carawaystep.adapters.http_client.connection_check import ConnectionCheck
from carawaystep.adapters.http_client.http_client import HttpClient
from carawaystep.adapters.http_client.http_failure import (
    HttpConnectionRejected,
)
from carawaystep.adapters.http_client.http_failure import HttpNotSent
from carawaystep.adapters.http_client.http_failure import HttpOutcomeUnknown
from carawaystep.adapters.http_client.http_request import HttpRequest
from tests.adapters.http_client.scripted_server import CLOSE
from tests.adapters.http_client.scripted_server import response
from tests.adapters.http_client.scripted_server import ScriptedServer
from tests.adapters.http_client.scripted_server import Step

if TYPE_CHECKING:
    from result import Result

    from carawaystep.adapters.http_client.http_failure import HttpFailure
    from carawaystep.adapters.http_client.http_response import HttpResponse

_METHODS = ("POST", "GET", "PUT", "DELETE")
_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
_TRUNCATED_GZIP = gzip.compress(b"abc" * 1000)[:-12]


async def _call(
    client: HttpClient,
    method: str = "POST",
    timeout_s: float = 2.0,
    **headers: str,
) -> Result[HttpResponse, HttpFailure]:
    body = None if method == "GET" else b"{}"
    return await client.request(method, "/x", timeout_s, headers, body)


def _result_kind(result: Result[HttpResponse, HttpFailure]) -> object:
    if isinstance(result, Ok):
        return result.ok_value.body
    return type(result.err_value)


class _BodyCheck(ConnectionCheck):
    """Accepts connections whose first response has the expected body."""

    def __init__(self, url: str, expected: bytes) -> None:
        self._url = url
        self._expected = expected

    @property
    def request(self) -> HttpRequest:
        return HttpRequest("GET", self._url + "/check", {}, None)

    def accepts(self, response: HttpResponse) -> bool:
        return response.body == self._expected


class HttpClientTest(TestCase):
    """Tests that requests are sent once and responses are complete."""

    def _run(
        self, *scripts: list[Step], method: str = "POST", calls: int = 2
    ) -> tuple[list[object], list[int], int]:
        """Make calls one after the other and close the client.

        :returns: result of each call (the body or the failure type), number
            of the connection of each request that arrived, and number of
            connections that are still open
        """

        async def run() -> tuple[list[object], list[int], int]:
            async with ScriptedServer(*scripts) as server:
                client = HttpClient(server.url, 2)
                results = []
                for _ in range(calls):
                    result = await _call(client, method, timeout_s=0.2)
                    results.append(_result_kind(result))
                    # A script of more than two steps is one whose response
                    # is late; wait until it has been sent.
                    await asyncio.sleep(0.3 if len(scripts[0]) > 2 else 0.02)
                await client.close()
                await asyncio.sleep(0.02)
                return (
                    results,
                    [request[0] for request in server.requests],
                    server.open_connections,
                )

        return asyncio.run(run())

    def test_no_resend_on_a_kept_alive_connection(self) -> None:
        """Guards against aiosonic's resend of idempotent methods.

        It happens when the server closes a kept-alive connection after it
        has received the request.
        """
        for method in _METHODS:
            first: list[Step] = [response(b"a")]
            results, connections, _ = self._run(
                first, [CLOSE], [response(b"resent")], method=method
            )
            self.assertEqual([b"a", HttpOutcomeUnknown], results, method)
            self.assertEqual([1, 1], connections, method)

    def test_no_resend_on_a_new_connection(self) -> None:
        """Guards against a resend when the first response is lost."""
        for method in _METHODS:
            results, connections, _ = self._run(
                [CLOSE], method=method, calls=1
            )
            self.assertEqual([HttpOutcomeUnknown], results, method)
            self.assertEqual([1], connections, method)

    def test_late_response_is_not_used_for_another_call(self) -> None:
        """Guards against aiosonic's reuse of a timed-out connection.

        The next call would get the late response to the earlier one.
        """
        # The third step makes _run wait for the late response.
        late_script: list[Step] = [0.25, response(b"late"), 0.0]
        for method in _METHODS:
            results, connections, _ = self._run(
                late_script, [response(b"own")], method=method
            )
            self.assertEqual([HttpOutcomeUnknown, b"own"], results, method)
            self.assertEqual([1, 2], connections, method)

    def test_late_response_on_a_kept_alive_connection(self) -> None:
        """Guards against reuse of a kept-alive connection after a timeout."""

        async def run() -> None:
            late_script: list[Step] = [0.2, response(b"late")]
            async with ScriptedServer([response(b"a")], late_script) as server:
                client = HttpClient(server.url, 1)
                self.assertEqual(b"a", _result_kind(await _call(client)))
                result = await _call(client, timeout_s=0.1)
                self.assertEqual(HttpOutcomeUnknown, _result_kind(result))
                await asyncio.sleep(0.2)
                self.assertEqual(b"more", _result_kind(await _call(client)))
                self.assertEqual(
                    [1, 1, 2],
                    [request[0] for request in server.requests],
                )
                await client.close()

        asyncio.run(run())

    def test_cancelled_call_closes_its_connection(self) -> None:
        """Guards against a call that gets the response to a cancelled one."""

        async def run() -> None:
            late_script: list[Step] = [0.1, response(b"late")]
            async with ScriptedServer([response(b"a")], late_script) as server:
                client = HttpClient(server.url, 1)
                await _call(client)
                task = asyncio.ensure_future(_call(client))
                await asyncio.sleep(0.05)
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                await asyncio.sleep(0.1)
                self.assertEqual(b"more", _result_kind(await _call(client)))
                await client.close()

        asyncio.run(run())

    def test_incomplete_responses_are_failures(self) -> None:
        """Guards against a result from a truncated or ambiguous response."""
        responses = {
            "short body": _STATUS_LINE + b"Content-Length: 9\r\n\r\nabc",
            "headers cut in a line": _STATUS_LINE + b"Content-Le",
            "headers cut after a line": _STATUS_LINE
            + b"Content-Length: 0\r\n",
            "status line only": _STATUS_LINE,
            "status line cut": b"HTTP/1.1 20",
            "nothing": b"",
            "no length": _STATUS_LINE + b"\r\nabc",
            "chunks cut": _STATUS_LINE
            + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            "chunk cut": _STATUS_LINE
            + b"Transfer-Encoding: chunked\r\n\r\n9\r\nabc",
            "last chunk cut": _STATUS_LINE
            + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
            "two lengths": _STATUS_LINE
            + b"Content-Length: 9\r\nContent-Length: 3\r\n\r\nabc",
            "length and chunks": _STATUS_LINE + b"Content-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            "negative length": _STATUS_LINE + b"Content-Length: -3\r\n\r\nabc",
            "length over the limit": _STATUS_LINE
            + b"Content-Length: 99999999999\r\n\r\nabc",
            "encoded body cut": _STATUS_LINE
            + b"Content-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"%x\r\n%s\r\n0\r\n\r\n"
            % (len(_TRUNCATED_GZIP), _TRUNCATED_GZIP),
            "no HTTP": b"NONSENSE\r\n\r\n",
            "interim": response(b"", 100) + response(b"abc"),
        }
        for name, data in responses.items():
            results, connections, open_count = self._run(
                [data, CLOSE], calls=1
            )
            self.assertEqual([HttpOutcomeUnknown], results, name)
            self.assertEqual([1], connections, name)
            self.assertEqual(0, open_count, name)

    def _read_slowly(
        self, script: list[Step], body_timeout: BodyTimeout | None
    ) -> object:
        """Make one call with a timeout of 0.2 s and return its result."""

        async def run() -> object:
            async with ScriptedServer(script) as server:
                client = HttpClient(server.url, 1)
                result = await client.request(
                    "GET", "/x", 0.2, body_timeout=body_timeout
                )
                await client.close()
                return _result_kind(result)

        return asyncio.run(run())

    def test_body_that_arrives_slowly_is_not_abandoned(self) -> None:
        """Guards against repeated transfers of a large body."""
        data = response(b"abcdef")
        parts: list[Step] = [data[:-6]]
        for index in range(6):
            parts += [0.1, data[len(data) - 6 + index :][:1]]
        limits = BodyTimeout(pause_s=0.2, total_s=2.0)
        self.assertEqual(b"abcdef", self._read_slowly(parts, limits))
        self.assertEqual(HttpOutcomeUnknown, self._read_slowly(parts, None))

    def test_body_that_stops_arriving_is_abandoned(self) -> None:
        """Guards against calls that wait for a body without a limit."""
        data = response(b"abcdef")
        late_end: list[Step] = [data[:-3], 0.5, data[-3:]]
        late_response: list[Step] = [0.4, data]
        pause = BodyTimeout(pause_s=0.25, total_s=2.0)
        total = BodyTimeout(pause_s=2.0, total_s=0.25)
        for script, limits in (
            (late_end, pause),
            (late_end, total),
            (late_response, BodyTimeout(pause_s=2.0, total_s=2.0)),
        ):
            self.assertEqual(
                HttpOutcomeUnknown, self._read_slowly(script, limits)
            )

    def test_redirects_are_not_followed(self) -> None:
        """Guards against a second request that the server can trigger."""
        for status in (302, 307):
            redirect = response(b"moved", status, Location="/y")
            results, connections, _ = self._run([redirect], calls=1)
            self.assertEqual([b"moved"], results)
            self.assertEqual([1], connections)

    def test_extra_bytes_are_not_a_response(self) -> None:
        """Guards against extra bytes that are read as the next response."""
        results, connections, _ = self._run(
            [response(b"a") + response(b"stray")], [response(b"own")]
        )
        self.assertEqual([b"a", b"own"], results)
        self.assertEqual([1, 2], connections)

    def test_connection_closed_while_idle(self) -> None:
        """Guards against a request on a connection that the server closed.

        Its outcome would be unknown, although a new connection works.
        """
        results, connections, _ = self._run(
            [response(b"a"), CLOSE], [response(b"b")]
        )
        self.assertEqual([b"a", b"b"], results)
        self.assertEqual([1, 2], connections)

    def test_connection_closed_just_before_a_call(self) -> None:
        """Guards against a write to a connection that the server just closed.

        The event loop has not processed the close yet. The request must not
        be written, so that it certainly did not run.
        """

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
                    await loop.sock_sendall(server, response(b"a"))
                    await first
            # The event loop has not run since both sockets were closed.
            self.assertEqual(HttpNotSent, _result_kind(await _call(client)))
            await client.close()

        asyncio.run(run())

    def test_many_calls_on_one_connection(self) -> None:
        """Guards against a failure when aiosonic replaces a connection."""

        async def run() -> None:
            async with ScriptedServer() as server:
                client = HttpClient(server.url, 1)
                for _ in range(1005):
                    self.assertEqual(
                        b"more", _result_kind(await _call(client))
                    )
                await client.close()

        asyncio.run(run())

    def test_expired_connections_are_closed(self) -> None:
        """Guards against sockets that stay open after a peak of calls."""

        async def run() -> None:
            async with ScriptedServer() as server:
                client = HttpClient(server.url, 4)
                await asyncio.gather(*[_call(client) for _ in range(4)])
                self.assertEqual(4, client.open_connections)
                with patch.object(http_client, "MAX_IDLE_S", 0.0):
                    await _call(client)
                    self.assertEqual(1, client.open_connections)
                await asyncio.sleep(0.02)
                self.assertEqual(1, server.open_connections)
                await client.close()

        asyncio.run(run())

    def test_keep_alive(self) -> None:
        """Guards against one connection per call and leaked connections."""
        results, connections, open_count = self._run(
            [response(b"a")], [response(b"b")]
        )
        self.assertEqual([b"a", b"b"], results)
        self.assertEqual([1, 1], connections)
        self.assertEqual(0, open_count)

    def test_request_waits_for_the_check_of_a_new_connection(self) -> None:
        """Guards against a request for a process that took an address over.

        The second connection leads to another process, which would carry out
        what was meant for the first one.
        """

        async def run() -> None:
            scripts: list[list[Step]] = [
                [response(b"first")],
                [response(b"a")],
                [response(b"b"), CLOSE],
                [response(b"second")],
            ]
            async with ScriptedServer(*scripts) as server:
                client = HttpClient(server.url, 1)
                results = []
                for _ in range(3):
                    results.append(
                        await client.request(
                            "POST",
                            "/x",
                            2.0,
                            check=_BodyCheck(server.url, b"first"),
                        )
                    )
                    await asyncio.sleep(0.02)
                self.assertEqual(
                    [b"a", b"b", HttpConnectionRejected],
                    [_result_kind(result) for result in results],
                )
                paths = [head.split()[1] for _, head, _ in server.requests]
                self.assertEqual([b"/check", b"/x", b"/x", b"/check"], paths)
                await client.close()

        asyncio.run(run())

    def test_unanswered_check_leaves_the_request_unsent(self) -> None:
        """Guards against an unknown outcome of a request that was not sent."""

        async def run() -> None:
            async with ScriptedServer([5.0]) as server:
                client = HttpClient(server.url, 1)
                result = await client.request(
                    "POST", "/x", 0.1, check=_BodyCheck(server.url, b"first")
                )
                self.assertEqual(HttpNotSent, _result_kind(result))
                await client.close()

        asyncio.run(run())

    def test_server_that_closes_each_connection_is_checked_too(self) -> None:
        """Guards against a server that gets checks and no requests."""

        async def run() -> None:
            scripts: list[list[Step]] = [
                [response(b"first", Connection="close"), CLOSE],
                [response(b"a", Connection="close"), CLOSE],
            ]
            async with ScriptedServer(*scripts) as server:
                client = HttpClient(server.url, 1)
                result = await client.request(
                    "POST", "/x", 2.0, check=_BodyCheck(server.url, b"first")
                )
                self.assertEqual(b"a", _result_kind(result))
                await client.close()

        asyncio.run(run())

    def test_check_leaves_the_request_its_full_time(self) -> None:
        """Guards against calls to a slow server that never fit."""

        async def run() -> None:
            scripts: list[list[Step]] = [
                [0.3, response(b"first")],
                [0.3, response(b"a")],
            ]
            async with ScriptedServer(*scripts) as server:
                client = HttpClient(server.url, 1)
                result = await client.request(
                    "POST", "/x", 0.5, check=_BodyCheck(server.url, b"first")
                )
                self.assertEqual(b"a", _result_kind(result))
                await client.close()

        asyncio.run(run())

    def test_failed_connect_is_not_sent(self) -> None:
        """Guards against an unknown outcome when no byte was sent."""

        async def run() -> None:
            with socket.socket() as listener, socket.socket() as first:
                listener.bind(("127.0.0.1", 0))
                refused = f"http://127.0.0.1:{listener.getsockname()[1]}"
                client = HttpClient(refused, 1)
                self.assertEqual(
                    HttpNotSent, _result_kind(await _call(client))
                )
                # With a full backlog the kernel does not answer connects.
                listener.listen(0)
                first.connect(listener.getsockname())
                result = await _call(client, timeout_s=0.2)
                self.assertEqual(HttpNotSent, _result_kind(result))
                await client.close()
                self.assertEqual(
                    HttpNotSent, _result_kind(await _call(client))
                )

        asyncio.run(run())

    def test_header_with_line_break_is_rejected(self) -> None:
        """Guards against header injection through a value."""

        async def run() -> None:
            async with ScriptedServer() as server:
                client = HttpClient(server.url, 1)
                for sent in range(2):
                    result = await _call(client, X="a\r\nY: b")
                    self.assertEqual(HttpNotSent, _result_kind(result))
                    self.assertEqual(sent, len(server.requests))
                    await _call(client)
                await client.close()

        asyncio.run(run())

    def test_connection_limit(self) -> None:
        """Guards against more connections than the server allows."""

        async def run() -> None:
            slow_script: list[Step] = [0.05, response(b"a")]
            async with ScriptedServer(*[slow_script] * 20) as server:
                client = HttpClient(server.url, 1)
                for limit in (3, 1, 2):
                    client.limit_connections(limit)
                    await asyncio.sleep(0.02)
                    server.peak_connections = server.open_connections
                    await asyncio.gather(*[_call(client) for _ in range(6)])
                    self.assertEqual(limit, server.peak_connections)
                result = await asyncio.gather(
                    *[_call(client, timeout_s=0.04) for _ in range(3)]
                )
                kinds = {_result_kind(item) for item in result}
                self.assertEqual({HttpOutcomeUnknown, HttpNotSent}, kinds)
                await client.close()

        asyncio.run(run())

    def test_close_ends_calls_in_progress(self) -> None:
        """Guards against calls that do not end when the client is closed."""

        async def run() -> None:
            async with ScriptedServer([5.0]) as server:
                client = HttpClient(server.url, 1)
                task = asyncio.ensure_future(_call(client))
                await asyncio.sleep(0.05)
                await client.close()
                result = await asyncio.wait_for(task, 0.5)
                self.assertIsInstance(result, Err)
                self.assertEqual(HttpOutcomeUnknown, _result_kind(result))
                self.assertEqual(0, client.open_connections)

        asyncio.run(run())
