"""Tests of PeerServer together with PeerClient."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

from msgspec.msgpack import encode
from msgspec.structs import replace
from result import Ok
from testtools import ExpectedException
from testtools import TestCase
from zmq import DEALER

from carawaystep.adapters.zmq.peer_client import PeerClient
from carawaystep.adapters.zmq.peer_codec import MAX_BUFFERED_BYTES
from carawaystep.adapters.zmq.peer_codec import MAX_MESSAGE_BYTES
from carawaystep.adapters.zmq.peer_codec import PeerCodec
from carawaystep.adapters.zmq.peer_server import PeerServer
from carawaystep.peer.messages import FetchDocuments
from tests.adapters.zmq.fake_handler import FakeHandler
from tests.adapters.zmq.peer_samples import forward_reply
from tests.adapters.zmq.peer_samples import LOAD
from tests.adapters.zmq.peer_samples import open_socket
from tests.adapters.zmq.peer_samples import REQUEST
from tools.port_allocator import LOOPBACK_HOST

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from zmq.asyncio import Socket


async def _wait_until_connected(client: PeerClient) -> None:
    for _ in range(100):
        if isinstance(await client.heartbeat(LOAD, 0.5), Ok):
            return
        await asyncio.sleep(0.02)
    raise AssertionError("the client did not connect")


@dataclass(frozen=True, slots=True)
class _Link:
    """A server and a client that is connected to it."""

    handler: FakeHandler
    server: PeerServer
    client: PeerClient
    address: str

    def open_dealer(self) -> Socket:
        """Return a socket that sends any bytes to the server."""
        dealer = open_socket(DEALER)
        dealer.connect(self.address)
        return dealer


def _with_server(test: Callable[[_Link], Awaitable[None]]) -> None:
    async def run() -> None:
        handler = FakeHandler()
        server = PeerServer(f"tcp://{LOOPBACK_HOST}:0", handler)
        await server.start()
        client = PeerClient(server.address)
        await client.start()
        try:
            await _wait_until_connected(client)
            await test(_Link(handler, server, client, server.address))
        finally:
            await client.close()
            await server.stop()
        assert len(asyncio.all_tasks()) == 1, asyncio.all_tasks()

    asyncio.run(run())


class PeerServerTest(TestCase):
    """Tests client and server together."""

    def test_replies_match_their_calls(self) -> None:
        """Guards against replies that complete the wrong call."""

        async def test(link: _Link) -> None:
            load = await link.client.heartbeat(LOAD, 1.0)
            self.assertEqual("e2", load.ok_value.entry)
            documents = await link.client.fetch_documents(1.0)
            self.assertEqual("text", documents.ok_value.documents[0].text)
            requests = [
                replace(REQUEST, request_id=f"r{number}", body=b"x" * number)
                for number in range(200)
            ]
            results = await asyncio.gather(
                *[link.client.forward(request, 2.0) for request in requests]
            )
            for request, result in zip(requests, results, strict=True):
                self.assertEqual(
                    request.request_id, result.ok_value.request_id
                )
            self.assertEqual(
                sorted(request.request_id for request in requests),
                sorted(link.handler.received_ids),
            )

        _with_server(test)

    def test_slow_request_does_not_block_heartbeats(self) -> None:
        """Guards against heartbeats that wait for a slow request."""

        async def test(link: _Link) -> None:
            slow = replace(REQUEST, service="slow")
            task = asyncio.ensure_future(link.client.forward(slow, 2.0))
            await asyncio.sleep(0.05)
            self.assertIsInstance(await link.client.heartbeat(LOAD, 0.5), Ok)
            self.assertFalse(task.done())
            link.handler.release.set()
            self.assertEqual(b"done", (await task).ok_value.body)

        _with_server(test)

    def test_late_reply_is_dropped_and_request_not_repeated(self) -> None:
        """Guards against a late reply that completes a later request."""

        async def test(link: _Link) -> None:
            slow = replace(REQUEST, service="slow")
            result = await link.client.forward(slow, 0.1)
            self.assertTrue(result.err_value.sent)
            link.handler.release.set()
            await asyncio.sleep(0.05)
            self.assertEqual(1, link.client.late_replies)
            self.assertEqual(["r1"], link.handler.received_ids)
            self.assertIsInstance(await link.client.forward(REQUEST, 0.5), Ok)

        _with_server(test)

    def test_malformed_messages_do_not_stop_the_server(self) -> None:
        """Guards against a message that makes the receiving process fail."""
        nested = b"\x81\xa1x" + b"\x91" * 100_000 + b"\xc0"
        nan_deadline = replace(REQUEST, deadline_s=float("nan"))
        too_large = replace(REQUEST, body=b"x" * MAX_MESSAGE_BYTES)
        messages: list[list[bytes]] = [
            [b""],
            [b"\xc1"],
            [encode({"type": "unknown"})],
            [encode({"type": "heartbeat", "sequence": "1"})],
            [encode({"type": "forward-request", "sequence": 1})],
            [nested],
            [encode(nan_deadline)],
            [encode(REQUEST).replace(b"bookings", b"\xff" * 8)],
            [encode(too_large)],
            [encode(forward_reply(1))],
            [encode(FetchDocuments(1)), b"second frame"],
        ]

        async def test(link: _Link) -> None:
            dealer = link.open_dealer()
            for message in messages:
                await dealer.send_multipart(message)
            await dealer.send(encode(FetchDocuments(77)))
            data = await asyncio.wait_for(dealer.recv(), 5.0)
            dealer.close()
            reply: Any = PeerCodec().decode(data)
            self.assertEqual(77, reply.sequence)
            self.assertEqual(len(messages), link.server.malformed_messages)
            self.assertEqual([], link.handler.received_ids)
            self.assertIsInstance(await link.client.heartbeat(LOAD, 0.5), Ok)

        _with_server(test)

    def test_message_over_the_buffer_limit_is_rejected(self) -> None:
        """Guards against unbounded buffers and a server that stops."""

        async def test(link: _Link) -> None:
            dealer = link.open_dealer()
            too_large = replace(REQUEST, body=b"x" * MAX_BUFFERED_BYTES)
            await dealer.send(encode(too_large))
            await asyncio.sleep(0.2)
            dealer.close()
            self.assertIsInstance(await link.client.heartbeat(LOAD, 0.5), Ok)
            self.assertEqual([], link.handler.received_ids)

        _with_server(test)

    def test_reply_to_a_disconnected_peer_is_counted(self) -> None:
        """Guards against a send error that stops the server."""

        async def test(link: _Link) -> None:
            dealer = link.open_dealer()
            await dealer.send(encode(replace(REQUEST, service="slow")))
            await asyncio.sleep(0.1)
            dealer.close()
            await asyncio.sleep(0.1)
            link.handler.release.set()
            await asyncio.sleep(0.05)
            self.assertEqual(1, link.server.undelivered_replies)
            self.assertIsInstance(await link.client.heartbeat(LOAD, 0.5), Ok)

        _with_server(test)

    def test_broken_invariant_ends_the_server(self) -> None:
        """Guards against a process that runs on with a broken invariant."""

        async def test(link: _Link) -> None:
            broken = replace(REQUEST, service="broken")
            result = await link.client.forward(broken, 0.2)
            self.assertTrue(result.err_value.sent)
            with ExpectedException(ExceptionGroup):
                await asyncio.wait_for(link.server.wait(), 1.0)

        _with_server(test)

    def test_stop_and_restart(self) -> None:
        """Guards against queued requests that a restarted entry would run."""

        async def test(link: _Link) -> None:
            slow = replace(REQUEST, service="slow")
            task = asyncio.ensure_future(link.client.forward(slow, 0.5))
            await asyncio.sleep(0.05)
            await link.server.stop()
            self.assertEqual(1, link.handler.cancelled_requests)
            self.assertTrue((await task).err_value.sent)
            result = await link.client.forward(REQUEST, 0.2)
            self.assertFalse(result.err_value.sent)
            second_handler = FakeHandler()
            second_server = PeerServer(link.address, second_handler)
            await second_server.start()
            await _wait_until_connected(link.client)
            self.assertEqual([], second_handler.received_ids)
            await second_server.stop()

        _with_server(test)
