"""Tests of the leader's session with one member."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING
from unittest.mock import patch

from testtools import TestCase

from carawaystep.cluster.messages import MemberHeartbeat
from carawaystep.leadership.member_record import MemberRecord
from carawaystep.scheduler import member_session
from carawaystep.scheduler.member_session import MemberSession

if TYPE_CHECKING:
    from carawaystep.cluster.messages import Message

_TERM = 7


class _Channel:
    """Connection on which messages arrive when they are put into it."""

    def __init__(self) -> None:
        self.messages: asyncio.Queue[Message] = asyncio.Queue()
        self.reconnect_count = 0

    async def send(self, message: object) -> bool:
        return True

    async def receive(self) -> Message:
        return await self.messages.get()

    async def reconnect(self) -> None:
        self.reconnect_count += 1

    async def close(self) -> None:
        return


class MemberSessionTest(TestCase):
    """Heartbeats of one member."""

    def setUp(self) -> None:
        """Create a session that records the followers of the term."""
        super().setUp()
        self.followers: list[str] = []
        self.context = SimpleNamespace(
            now=100.0,
            term=_TERM,
            name="edge-1",
            may_lead=lambda now: True,
            confirmation_age=lambda now: 0.0,
            record_follower=self.followers.append,
        )

    def _heartbeat(self, term: int = _TERM) -> MemberHeartbeat:
        return MemberHeartbeat("edge-2", term, 1.0, 0, False)

    async def _run_at(
        self, *heartbeats: tuple[float, MemberHeartbeat | None]
    ) -> tuple[MemberSession, _Channel]:
        """Run a session with the clock at each of the given times.

        :param heartbeats: time, and heartbeat that arrives then, if any
        """
        channel = _Channel()
        session = MemberSession(
            MemberRecord("edge-2", "tcp://edge-2", "zone", 1.0),
            channel,  # type: ignore[arg-type]
            self.context,  # type: ignore[arg-type]
        )
        with patch.object(member_session, "_HEARTBEAT_INTERVAL_S", 0.01):
            task = asyncio.create_task(session.run())
            for now, heartbeat in heartbeats:
                self.context.now = now
                if heartbeat is not None:
                    channel.messages.put_nowait(heartbeat)
                await asyncio.sleep(0.05)
            task.cancel()
            await asyncio.wait([task])
        return session, channel

    def test_only_a_heartbeat_of_the_term_makes_a_follower(self) -> None:
        """Guards against an earlier leader that counts as stopped too soon.

        Until it follows the new term, it may go on as a leader.
        """
        asyncio.run(self._run_at((100.1, self._heartbeat(_TERM - 1))))
        self.assertEqual([], self.followers)
        asyncio.run(self._run_at((100.2, self._heartbeat())))
        self.assertEqual(["tcp://edge-2"], self.followers)

    def test_contact_ends_with_each_silence(self) -> None:
        """Guards against reports that are taken for complete.

        They are lost when the connection is replaced.
        """

        async def run() -> None:
            session, channel = await self._run_at(
                (100.0, None),
                (100.5, self._heartbeat()),
                (102.0, None),
                (103.5, None),
                (104.0, self._heartbeat()),
            )
            self.assertGreater(channel.reconnect_count, 1)
            self.assertEqual([100.5, 104.0], session.contact_times)

        asyncio.run(run())
