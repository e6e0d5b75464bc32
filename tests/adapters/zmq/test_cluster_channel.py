"""Tests of the leader's connection to a member over real sockets."""

from __future__ import annotations

import asyncio
from errno import EMFILE
from typing import TYPE_CHECKING
from unittest.mock import patch

from testtools import TestCase
from zmq import Context
from zmq import DEALER
from zmq import LINGER

from carawaystep.adapters.zmq.cluster_channel import ClusterChannel
from carawaystep.adapters.zmq.cluster_server import ClusterServer
from carawaystep.cluster.messages import LeaderHeartbeat
from carawaystep.cluster.messages import MemberHeartbeat
from carawaystep.cluster.messages import PublishedStates
from carawaystep.intake.stranger_limit import StrangerLimit
from carawaystep.workflow.workflow_state import WorkflowState
from tools.port_allocator import LOOPBACK_HOST

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

_LIMIT_S = 5.0
# What a peer of the zmq protocol with the mechanism NULL sends first.
_GREETING = (
    b"\xff" + b"\0" * 8 + b"\x7f\x03\x00" + b"NULL".ljust(20, b"\0")
).ljust(64, b"\0")
_READY = b"\x04\x1c\x05READY\x0bSocket-Type\0\0\0\x06DEALER"
_CONNECT_S = 0.5
_HEARTBEAT = LeaderHeartbeat(7, "edge-1", 0.0, 0.0)
_ANSWER = MemberHeartbeat("edge-2", 7, 1.0, 0, False)


class ClusterChannelTest(TestCase):
    """A member's messages while its connection is replaced."""

    def _run(
        self,
        check: Callable[[ClusterServer, ClusterChannel], Awaitable[None]],
    ) -> None:
        async def run() -> None:
            server = ClusterServer(f"tcp://{LOOPBACK_HOST}:0")
            channel = ClusterChannel(server.address)
            try:
                async with asyncio.timeout(_LIMIT_S):
                    await check(server, channel)
            finally:
                await channel.close()
                server.close()

        asyncio.run(run())

    def test_messages_arrive_after_the_connection_was_replaced(self) -> None:
        """Guards against a leader that never hears a member again.

        The connection is replaced while a message is awaited, after the
        member was silent for a second.
        """

        async def check(
            server: ClusterServer, channel: ClusterChannel
        ) -> None:
            received = asyncio.create_task(channel.receive())
            await asyncio.sleep(0.1)
            await channel.reconnect()
            # Nothing is sent before the new connection is open.
            await asyncio.sleep(_CONNECT_S)
            self.assertTrue(await channel.send(_HEARTBEAT))
            leader, message = await server.receive()
            self.assertEqual(_HEARTBEAT, message)
            await server.send(leader, _ANSWER)
            self.assertEqual(_ANSWER, await received)

        self._run(check)

    def test_receiver_can_be_cancelled_after_a_replacement(self) -> None:
        """Guards against a session that goes on after the end of its term."""

        async def check(
            server: ClusterServer, channel: ClusterChannel
        ) -> None:
            received = asyncio.create_task(channel.receive())
            await asyncio.sleep(0.1)
            await channel.reconnect()
            received.cancel()
            await asyncio.wait([received])
            self.assertTrue(received.cancelled())

        self._run(check)

    def test_messages_between_sends_all_arrive(self) -> None:
        """Guards against a message whose signal a send has consumed.

        It would wait until the next message of the same peer.
        """

        async def check(
            server: ClusterServer, channel: ClusterChannel
        ) -> None:
            # Nothing is sent before the connection is open.
            await asyncio.sleep(_CONNECT_S)
            self.assertTrue(await channel.send(_HEARTBEAT))
            leader, _ = await server.receive()
            for _ in range(300):
                self.assertTrue(await server.send(leader, _ANSWER))
                self.assertTrue(await channel.send(_HEARTBEAT))
                self.assertEqual(_ANSWER, await channel.receive())
                await server.receive()

        self._run(check)

    def test_long_messages_arrive(self) -> None:
        """Guards against messages that are too long for one frame."""

        async def check(
            server: ClusterServer, channel: ClusterChannel
        ) -> None:
            states = {f"{n:016x}": WorkflowState.RUNNING for n in range(9000)}
            long = LeaderHeartbeat(
                7, "edge-1", 0.0, 0.0, published=PublishedStates(7, states)
            )
            # Nothing is sent before the connection is open.
            await asyncio.sleep(_CONNECT_S)
            for message in (long, _HEARTBEAT, long):
                self.assertTrue(await channel.send(message))
                _, received = await server.receive()
                self.assertEqual(message, received)

        self._run(check)

    def test_strangers_do_not_cut_off_a_leader(self) -> None:
        """Guards against strangers that keep or replace a connection."""

        async def check(
            server: ClusterServer, channel: ClusterChannel
        ) -> None:
            await asyncio.sleep(_CONNECT_S)
            self.assertTrue(await channel.send(_HEARTBEAT))
            leader, _ = await server.receive()
            # Recognized by this one at the latest.
            self.assertTrue(await channel.send(_HEARTBEAT))
            await server.receive()
            port = int(server.address.rpartition(":")[2])
            strangers = [
                await asyncio.open_connection(LOOPBACK_HOST, port)
                for _ in range(20)
            ]
            # Each gets the greeting; all but four are closed at once.
            replies = [
                asyncio.create_task(reader.read()) for reader, _ in strangers
            ]
            closed = asyncio.as_completed(replies, timeout=1.5)
            for _, reply in zip(range(16), closed, strict=False):
                await reply
            await server.send(leader, _ANSWER)
            self.assertEqual(_ANSWER, await channel.receive())
            for _, writer in strangers:
                writer.close()
            await asyncio.gather(*replies, return_exceptions=True)

        self._run(check)

    def test_long_frame_ends_a_connection_at_once(self) -> None:
        """Guards against memory that grows before a stranger is closed.

        The guard of the connections is without effect here.
        """

        async def check(server: ClusterServer, _: ClusterChannel) -> None:
            port = int(server.address.rpartition(":")[2])
            with patch.object(StrangerLimit, "expire", return_value=[]):
                reader, writer = await asyncio.open_connection(
                    LOOPBACK_HOST, port
                )
                length = (8 * 1024 * 1024).to_bytes(8, "big")
                writer.write(_GREETING + _READY + b"\x02" + length)
                await reader.read()
                writer.close()

        self._run(check)

    def test_strangers_are_closed_without_free_descriptors(self) -> None:
        """Guards against strangers that stay once they have taken all."""

        async def check(server: ClusterServer, _: ClusterChannel) -> None:
            port = int(server.address.rpartition(":")[2])
            lack = OSError(EMFILE, "too many open files")
            with patch("os.dup", side_effect=lack):
                reader, writer = await asyncio.open_connection(
                    LOOPBACK_HOST, port
                )
                # Longer than a stranger may stay.
                await asyncio.sleep(2.2)
            await reader.read()
            writer.close()

        self._run(check)

    def test_invalid_messages_leave_nothing_behind(self) -> None:
        """Guards against memory that grows with each stranger.

        Each one has an identity of its own.
        """

        async def check(server: ClusterServer, _: ClusterChannel) -> None:
            received = asyncio.create_task(server.receive())
            port = int(server.address.rpartition(":")[2])
            _, silent = await asyncio.open_connection(LOOPBACK_HOST, port)
            await asyncio.sleep(_CONNECT_S)
            for _ in range(3):
                with Context.instance().socket(DEALER) as stranger:
                    stranger.setsockopt(LINGER, 0)
                    stranger.connect(server.address)
                    stranger.send(b"invalid")
                    await asyncio.sleep(0.1)
            self.assertEqual({}, server._socket._descriptors)
            silent.close()
            received.cancel()

        self._run(check)

    def test_messages_wait_while_nobody_takes_them(self) -> None:
        """Guards against losing messages above the limit of a batch."""

        async def check(
            server: ClusterServer, channel: ClusterChannel
        ) -> None:
            # Nothing is sent before the connection is open.
            await asyncio.sleep(_CONNECT_S)
            self.assertTrue(await channel.send(_HEARTBEAT))
            leader, _ = await server.receive()
            for number in range(1000):
                answer = MemberHeartbeat("edge-2", number, 1.0, 0, False)
                await server.send(leader, answer)
            await asyncio.sleep(0.2)
            received = [await channel.receive() for _ in range(1000)]
            self.assertEqual(
                list(range(1000)),
                [m.term for m in received if isinstance(m, MemberHeartbeat)],
            )

        self._run(check)
