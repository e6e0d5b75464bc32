"""Tests of the links between entries, with lost and malformed messages."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

from msgspec.msgpack import encode
from msgspec.structs import replace
from result import Err
from result import Ok
from testtools import ExpectedException
from testtools import TestCase
from zmq import DEALER
from zmq import LINGER
from zmq import ROUTER
from zmq.asyncio import Context

from carawaystep.adapters.zmq.peer_client import PeerClient
from carawaystep.adapters.zmq.peer_codec import MAX_MESSAGE_BYTES
from carawaystep.adapters.zmq.peer_codec import PeerCodec
from carawaystep.adapters.zmq.peer_server import PeerServer
from carawaystep.errors.broken_invariant import BrokenInvariant
from carawaystep.peer.messages import DocumentRow
from carawaystep.peer.messages import DocumentsReply
from carawaystep.peer.messages import EntryLoad
from carawaystep.peer.messages import FetchDocuments
from carawaystep.peer.messages import ForwardReply
from carawaystep.peer.messages import ForwardRequest
from carawaystep.peer.messages import Heartbeat
from carawaystep.peer.messages import HeartbeatReply
from carawaystep.peer.peer_handler import PeerHandler

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from zmq.asyncio import Socket

_LOAD = EntryLoad("e1", "i1", "arima", 3, 0, 7, True, False)
_REQUEST = ForwardRequest(0, "r1", "bookings", 2, None, 1.5, b"seat")


def _reply(sequence: int, request_id: str = "r1") -> ForwardReply:
    return ForwardReply(sequence, request_id, "answered", "ok", "", b"done")


class FakeHandler(PeerHandler):
    """Records requests; ``service`` tells what to do with each."""

    def __init__(self) -> None:
        """Start without requests."""
        self.ran: list[str] = []
        self.cancelled = 0
        self.hold = asyncio.Event()

    def exchange_load(self, load: EntryLoad) -> EntryLoad:
        """Return another entry's load."""
        return replace(load, entry="e2")

    async def run_forwarded(self, request: ForwardRequest) -> ForwardReply:
        """Answer at once, or wait, or fail."""
        self.ran.append(request.request_id)
        if request.service == "broken":
            raise BrokenInvariant("test")
        if request.service == "slow":
            try:
                await self.hold.wait()
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        # The server restores the sequence.
        return _reply(0, request.request_id)

    def documents(self, sequence: int) -> DocumentsReply:
        """Return one document."""
        row = DocumentRow("bookings", 2, "text")
        return DocumentsReply(sequence, 7, (row,), ())


def _socket(kind: int) -> Socket:
    socket = Context.instance().socket(kind)
    socket.setsockopt(LINGER, 0)
    return socket


async def _connected(client: PeerClient) -> None:
    for _ in range(100):
        if isinstance(await client.heartbeat(_LOAD, 0.5), Ok):
            return
        await asyncio.sleep(0.02)
    raise AssertionError("the link did not connect")


def _with_server(
    test: Callable[
        [FakeHandler, PeerServer, PeerClient, str], Awaitable[None]
    ],
) -> None:
    async def run() -> None:
        handler = FakeHandler()
        probe = _socket(ROUTER)
        port = probe.bind_to_random_port("tcp://127.0.0.1")
        probe.close()
        address = f"tcp://127.0.0.1:{port}"
        await asyncio.sleep(0.02)
        server = PeerServer(address, handler)
        await server.start()
        client = PeerClient(address)
        await client.start()
        try:
            await _connected(client)
            await test(handler, server, client, address)
        finally:
            await client.close()
            await server.stop()
        assert len(asyncio.all_tasks()) == 1, asyncio.all_tasks()

    asyncio.run(run())


def _with_fake_peer(
    test: Callable[[Socket, PeerClient], Awaitable[None]],
) -> None:
    """Run with a bare ROUTER socket in place of the other entry."""

    async def run() -> None:
        router = _socket(ROUTER)
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


class PeerLinkTest(TestCase):
    """Both ends together."""

    def test_calls(self) -> None:
        """Guards against replies that reach the wrong call."""

        async def test(
            handler: FakeHandler, _: PeerServer, client: PeerClient, __: str
        ) -> None:
            load = await client.heartbeat(_LOAD, 1.0)
            self.assertEqual("e2", load.ok_value.entry)
            documents = await client.fetch_documents(1.0)
            self.assertEqual("text", documents.ok_value.documents[0].text)
            requests = [
                replace(_REQUEST, request_id=f"r{number}", body=b"x" * number)
                for number in range(200)
            ]
            results = await asyncio.gather(
                *[client.forward(request, 2.0) for request in requests]
            )
            for request, result in zip(requests, results, strict=True):
                self.assertEqual(
                    request.request_id, result.ok_value.request_id
                )
            self.assertEqual(
                sorted(request.request_id for request in requests),
                sorted(handler.ran),
            )

        _with_server(test)

    def test_slow_request_blocks_nothing(self) -> None:
        """Guards against heartbeats that wait behind a request."""

        async def test(
            handler: FakeHandler, _: PeerServer, client: PeerClient, __: str
        ) -> None:
            slow = replace(_REQUEST, service="slow")
            task = asyncio.ensure_future(client.forward(slow, 2.0))
            await asyncio.sleep(0.05)
            self.assertIsInstance(await client.heartbeat(_LOAD, 0.5), Ok)
            self.assertFalse(task.done())
            handler.hold.set()
            self.assertEqual(b"done", (await task).ok_value.body)

        _with_server(test)

    def test_lost_reply_is_unknown_and_not_repeated(self) -> None:
        """Guards against a late reply taken for a later request's."""

        async def test(
            handler: FakeHandler, _: PeerServer, client: PeerClient, __: str
        ) -> None:
            slow = replace(_REQUEST, service="slow")
            result = await client.forward(slow, 0.1)
            self.assertTrue(result.err_value.sent)
            handler.hold.set()
            await asyncio.sleep(0.05)
            self.assertEqual(1, client.late_replies)
            self.assertEqual(["r1"], handler.ran)
            self.assertIsInstance(await client.forward(_REQUEST, 0.5), Ok)

        _with_server(test)

    def test_malformed_messages_do_not_stop_the_server(self) -> None:
        """Guards against a peer that stops another one."""
        nested = b"\x81\xa1x" + b"\x91" * 100_000 + b"\xc0"
        late = replace(_REQUEST, deadline_s=float("nan"))
        large = replace(_REQUEST, body=b"x" * MAX_MESSAGE_BYTES)
        messages: list[list[bytes]] = [
            [b""],
            [b"\xc1"],
            [encode({"type": "unknown"})],
            [encode({"type": "heartbeat", "sequence": "1"})],
            [encode({"type": "forward-request", "sequence": 1})],
            [nested],
            [encode(late)],
            [encode(large)],
            [encode(_reply(1))],
            [encode(FetchDocuments(1)), b"second frame"],
        ]

        async def test(
            handler: FakeHandler,
            server: PeerServer,
            client: PeerClient,
            address: str,
        ) -> None:
            dealer = _socket(DEALER)
            dealer.connect(address)
            for message in messages:
                await dealer.send_multipart(message)
            await dealer.send(encode(FetchDocuments(77)))
            data = await asyncio.wait_for(dealer.recv(), 5.0)
            dealer.close()
            reply: Any = PeerCodec().decode(data)
            self.assertEqual(77, reply.sequence)
            self.assertEqual(len(messages), server.malformed_messages)
            self.assertEqual([], handler.ran)
            self.assertIsInstance(await client.heartbeat(_LOAD, 0.5), Ok)

        _with_server(test)

    def test_reply_to_a_peer_that_is_gone(self) -> None:
        """Guards against an error that stops the server."""

        async def test(
            handler: FakeHandler,
            server: PeerServer,
            client: PeerClient,
            address: str,
        ) -> None:
            dealer = _socket(DEALER)
            dealer.connect(address)
            await dealer.send(encode(replace(_REQUEST, service="slow")))
            await asyncio.sleep(0.1)
            dealer.close()
            await asyncio.sleep(0.1)
            handler.hold.set()
            await asyncio.sleep(0.05)
            self.assertEqual(1, server.undelivered_replies)
            self.assertIsInstance(await client.heartbeat(_LOAD, 0.5), Ok)

        _with_server(test)

    def test_broken_invariant_is_seen(self) -> None:
        """Guards against a process that goes on after its rules broke."""

        async def test(
            _: FakeHandler, server: PeerServer, client: PeerClient, __: str
        ) -> None:
            broken = replace(_REQUEST, service="broken")
            result = await client.forward(broken, 0.2)
            self.assertTrue(result.err_value.sent)
            with ExpectedException(ExceptionGroup):
                await asyncio.wait_for(server.wait(), 1.0)

        _with_server(test)

    def test_stop_and_restart(self) -> None:
        """Guards against queued messages that a new process would run."""

        async def test(
            handler: FakeHandler,
            server: PeerServer,
            client: PeerClient,
            address: str,
        ) -> None:
            slow = replace(_REQUEST, service="slow")
            task = asyncio.ensure_future(client.forward(slow, 0.5))
            await asyncio.sleep(0.05)
            await server.stop()
            self.assertEqual(1, handler.cancelled)
            self.assertTrue((await task).err_value.sent)
            result = await client.forward(_REQUEST, 0.2)
            self.assertFalse(result.err_value.sent)
            other = FakeHandler()
            second = PeerServer(address, other)
            await second.start()
            await _connected(client)
            self.assertEqual([], other.ran)
            await second.stop()

        _with_server(test)


class PeerClientTest(TestCase):
    """The client against a misbehaving or absent peer."""

    def test_nothing_queues_for_an_absent_peer(self) -> None:
        """Guards against requests that run once a peer comes back."""

        async def run() -> None:
            probe = _socket(ROUTER)
            port = probe.bind_to_random_port("tcp://127.0.0.1")
            probe.close()
            for address in (f"tcp://127.0.0.1:{port}", "no address"):
                client = PeerClient(address)
                result = await client.forward(_REQUEST, 0.2)
                self.assertFalse(result.err_value.sent)
                await client.start()
                result = await client.forward(_REQUEST, 0.2)
                self.assertFalse(result.err_value.sent)
                await client.close()

        asyncio.run(run())

    def test_doubled_and_foreign_replies(self) -> None:
        """Guards against a reply used twice or for another request."""

        async def test(router: Socket, client: PeerClient) -> None:
            task = asyncio.ensure_future(client.forward(_REQUEST, 1.0))
            peer, data = await router.recv_multipart()
            request: Any = PeerCodec().decode(data)
            other = _reply(request.sequence + 1)
            wrong = HeartbeatReply(request.sequence, _LOAD)
            right = _reply(request.sequence)
            for message in (other, wrong, right, right):
                await router.send_multipart([peer, encode(message)])
            await router.send_multipart([peer, b"\xc1"])
            await router.send_multipart([peer, encode(Heartbeat(1, _LOAD))])
            self.assertEqual(Ok(right), await task)
            await asyncio.sleep(0.05)
            self.assertEqual(2, client.late_replies)
            self.assertEqual(3, client.malformed_messages)

        _with_fake_peer(test)

    def test_reply_with_another_request_id(self) -> None:
        """Guards against handing a caller another caller's answer."""

        async def test(router: Socket, client: PeerClient) -> None:
            task = asyncio.ensure_future(client.forward(_REQUEST, 1.0))
            peer, data = await router.recv_multipart()
            request: Any = PeerCodec().decode(data)
            reply = _reply(request.sequence, "r2")
            await router.send_multipart([peer, encode(reply)])
            self.assertTrue((await task).err_value.sent)

        _with_fake_peer(test)

    def test_sequences_are_never_reused(self) -> None:
        """Guards against a reply that matches a call of another link."""

        async def test(router: Socket, client: PeerClient) -> None:
            again = PeerClient("tcp://127.0.0.1:9")
            for link in (client, client, again):
                await link.heartbeat(_LOAD, 0.02)
            await client.fetch_documents(0.02)
            await client.forward(replace(_REQUEST, sequence=1), 0.02)
            seen = set()
            for _ in range(4):
                _, data = await router.recv_multipart()
                message: Any = PeerCodec().decode(data)
                seen.add(message.sequence)
            self.assertEqual(4, len(seen))
            self.assertEqual(4, max(seen) - min(seen))

        _with_fake_peer(test)

    def test_close_fails_pending_calls_as_sent(self) -> None:
        """Guards against calls that hang or claim not to have run."""

        async def test(_: Socket, client: PeerClient) -> None:
            task = asyncio.ensure_future(client.forward(_REQUEST, 5.0))
            await asyncio.sleep(0.05)
            await client.close()
            result = await asyncio.wait_for(task, 0.5)
            self.assertTrue(result.err_value.sent)
            result = await client.forward(_REQUEST, 0.2)
            self.assertFalse(result.err_value.sent)

        _with_fake_peer(test)

    def test_messages_over_the_limits_are_not_sent(self) -> None:
        """Guards against unbounded memory for a peer that reads nothing."""

        async def test(_: Socket, client: PeerClient) -> None:
            large = replace(_REQUEST, body=b"x" * MAX_MESSAGE_BYTES)
            result = await client.forward(large, 0.2)
            self.assertFalse(result.err_value.sent)
            # Enough to fill the queues and socket buffers of both ends.
            body = replace(_REQUEST, body=b"x" * 100_000)
            results = await asyncio.gather(
                *[client.forward(body, 0.5) for _ in range(4000)]
            )
            failures = [result.err_value.sent for result in results]
            self.assertIn(True, failures)
            self.assertIn(False, failures)
            self.assertEqual(
                [], [x for x in results if not isinstance(x, Err)]
            )

        _with_fake_peer(test)
