"""Tests of PeerClient against a faulty or absent peer."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

from msgspec.msgpack import encode
from msgspec.structs import replace
from result import Err
from result import Ok
from testtools import TestCase
from zmq import ROUTER

from carawaystep.adapters.zmq.peer_client import PeerClient
from carawaystep.adapters.zmq.peer_codec import MAX_MESSAGE_BYTES
from carawaystep.adapters.zmq.peer_codec import PeerCodec
from carawaystep.peer.messages import Heartbeat
from carawaystep.peer.messages import HeartbeatReply
from tests.adapters.zmq.peer_samples import forward_reply
from tests.adapters.zmq.peer_samples import LOAD
from tests.adapters.zmq.peer_samples import open_socket
from tests.adapters.zmq.peer_samples import REQUEST
from tools.port_allocator import LOOPBACK_HOST
from tools.port_allocator import PortAllocator

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from zmq.asyncio import Socket


def _with_router_socket(
    test: Callable[[Socket, PeerClient], Awaitable[None]],
) -> None:
    """Run a test with a plain ROUTER socket in place of the other entry."""

    async def run() -> None:
        router = open_socket(ROUTER)
        port = router.bind_to_random_port("tcp://127.0.0.1")
        client = PeerClient(f"tcp://127.0.0.1:{port}")
        await client.start()
        await asyncio.sleep(0.1)
        try:
            await test(router, client)
        finally:
            await client.close()
            router.close()

    asyncio.run(run())


class PeerClientTest(TestCase):
    """Tests which calls fail as sent and which replies are accepted."""

    def test_requests_to_an_absent_peer_are_not_queued(self) -> None:
        """Guards against queued requests that run when the peer is back."""

        ports = PortAllocator()
        self.addCleanup(ports.close)
        absent_peer = f"tcp://{LOOPBACK_HOST}:{ports.reserve()}"

        async def run() -> None:
            for address in (absent_peer, "no address"):
                client = PeerClient(address)
                result = await client.forward(REQUEST, 0.2)
                self.assertFalse(result.err_value.sent)
                await client.start()
                result = await client.forward(REQUEST, 0.2)
                self.assertFalse(result.err_value.sent)
                await client.close()

        asyncio.run(run())

    def test_duplicate_and_unmatched_replies_are_dropped(self) -> None:
        """Guards against a reply that is used twice or for another call."""

        async def test(router: Socket, client: PeerClient) -> None:
            task = asyncio.ensure_future(client.forward(REQUEST, 1.0))
            peer, data = await router.recv_multipart()
            request: Any = PeerCodec().decode(data)
            unmatched = forward_reply(request.sequence + 1)
            wrong_type = HeartbeatReply(request.sequence, LOAD)
            valid = forward_reply(request.sequence)
            for message in (unmatched, wrong_type, valid, valid):
                await router.send_multipart([peer, encode(message)])
            await router.send_multipart([peer, b"\xc1"])
            await router.send_multipart([peer, encode(Heartbeat(1, LOAD))])
            self.assertEqual(Ok(valid), await task)
            await asyncio.sleep(0.05)
            self.assertEqual(2, client.late_replies)
            self.assertEqual(3, client.malformed_messages)

        _with_router_socket(test)

    def test_reply_with_another_request_id_is_rejected(self) -> None:
        """Guards against returning the reply to another caller's request."""

        async def test(router: Socket, client: PeerClient) -> None:
            task = asyncio.ensure_future(client.forward(REQUEST, 1.0))
            peer, data = await router.recv_multipart()
            request: Any = PeerCodec().decode(data)
            reply = forward_reply(request.sequence, "r2")
            await router.send_multipart([peer, encode(reply)])
            self.assertTrue((await task).err_value.sent)

        _with_router_socket(test)

    def test_sequence_numbers_are_not_reused(self) -> None:
        """Guards against a reply that matches a call of another client."""

        async def test(router: Socket, client: PeerClient) -> None:
            other_client = PeerClient("tcp://127.0.0.1:9")
            for caller in (client, client, other_client):
                await caller.heartbeat(LOAD, 0.02)
            await client.fetch_documents(0.02)
            await client.forward(replace(REQUEST, sequence=1), 0.02)
            sequences = set()
            for _ in range(4):
                _, data = await router.recv_multipart()
                message: Any = PeerCodec().decode(data)
                sequences.add(message.sequence)
            self.assertEqual(4, len(sequences))
            self.assertEqual(4, max(sequences) - min(sequences))

        _with_router_socket(test)

    def test_close_fails_pending_calls_as_sent(self) -> None:
        """Guards against calls that hang or fail as if not sent."""

        async def test(_: Socket, client: PeerClient) -> None:
            task = asyncio.ensure_future(client.forward(REQUEST, 5.0))
            await asyncio.sleep(0.05)
            await client.close()
            result = await asyncio.wait_for(task, 0.5)
            self.assertTrue(result.err_value.sent)
            result = await client.forward(REQUEST, 0.2)
            self.assertFalse(result.err_value.sent)

        _with_router_socket(test)

    def test_size_and_queue_limits_fail_calls(self) -> None:
        """Guards against unbounded queues for a peer that does not read."""

        async def test(_: Socket, client: PeerClient) -> None:
            too_large = replace(REQUEST, body=b"x" * MAX_MESSAGE_BYTES)
            result = await client.forward(too_large, 0.2)
            self.assertFalse(result.err_value.sent)
            # Enough to fill the queues and the socket buffers of both ends.
            body = replace(REQUEST, body=b"x" * 100_000)
            results = await asyncio.gather(
                *[client.forward(body, 0.5) for _ in range(4000)]
            )
            failures = [result.err_value.sent for result in results]
            self.assertIn(True, failures)
            self.assertIn(False, failures)
            self.assertEqual(
                [], [x for x in results if not isinstance(x, Err)]
            )

        _with_router_socket(test)
