"""Tests of the leader's session with one member."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING
from unittest.mock import patch

from testtools import TestCase

from carawaystep.cluster.messages import LeaderHeartbeat
from carawaystep.cluster.messages import MemberHeartbeat
from carawaystep.cluster.messages import PublishedStates
from carawaystep.entry.loop_clock import LoopClock
from carawaystep.leadership.member_record import MemberRecord
from carawaystep.planner.room_forecast import RoomForecast
from carawaystep.scheduler import member_session
from carawaystep.scheduler.member_session import MemberSession
from carawaystep.scheduler.published_state_cache import PublishedStateCache
from carawaystep.workflow.workflow_state import WorkflowState

if TYPE_CHECKING:
    from carawaystep.cluster.messages import Message

_TERM = 7


class _Channel:
    """Connection on which messages arrive when they are put into it."""

    def __init__(self) -> None:
        self.messages: asyncio.Queue[Message] = asyncio.Queue()
        self.reconnect_count = 0
        self.connected = True
        self.sent: list[object] = []

    async def send(self, message: object) -> bool:
        if self.connected:
            self.sent.append(message)
        return self.connected

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
        self.answers: list[tuple[str, str, float]] = []
        self.verified_at = 1000.0
        self.context = SimpleNamespace(
            now=100.0,
            term=_TERM,
            name="edge-1",
            may_lead=lambda now: True,
            confirmation_age=lambda now: 0.0,
            silence_limit_s=lambda now: 1.0,
            clock=LoopClock(),
            record_follower=self.followers.append,
            record_answer=lambda *answer: self.answers.append(answer),
            verified_at=lambda: self.verified_at,
        )

    def _heartbeat(
        self, term: int = _TERM, timestamp: float = 1.0
    ) -> MemberHeartbeat:
        return MemberHeartbeat("edge-2", term, timestamp, 0, False, 99.5, "p1")

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
        with patch.object(member_session, "HEARTBEAT_INTERVAL_S", 0.01):
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

    def test_grant_is_renewed_after_a_confirmation_of_the_term(self) -> None:
        """Guards against grants of a leader that was cut off and replaced.

        Its successor waits only for grants on what the earlier leader heard
        before the successor had the store and a majority of the voters.
        """
        self.verified_at = 100.4

        async def run() -> list[float]:
            _, channel = await self._run_at(
                (100.0, self._heartbeat(timestamp=1.0)),
                (100.5, self._heartbeat(timestamp=2.0)),
            )
            return [
                message.echoed_timestamp
                for message in channel.sent
                if isinstance(message, LeaderHeartbeat)
            ]

        self.assertEqual({0.0, 1.0}, set(asyncio.run(run())))

    def test_answer_of_the_term_counts_with_its_process(self) -> None:
        """Guards against votes of a process that replaced the voter."""
        asyncio.run(self._run_at((100.1, self._heartbeat(_TERM - 1))))
        self.assertEqual([], self.answers)
        asyncio.run(self._run_at((100.2, self._heartbeat())))
        self.assertEqual([("tcp://edge-2", "p1", 99.5)], self.answers)

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

    def test_states_are_numbered_and_wait_for_the_connection(self) -> None:
        """Guards against a lost message that a member cannot notice."""

        async def run() -> None:
            channel = _Channel()
            session = MemberSession(
                MemberRecord("edge-2", "tcp://edge-2", "zone", 1.0),
                channel,  # type: ignore[arg-type]
                self.context,  # type: ignore[arg-type]
            )
            channel.connected = False
            session.publish_states({"a": WorkflowState.RUNNING})
            with patch.object(member_session, "HEARTBEAT_INTERVAL_S", 0.01):
                task = asyncio.create_task(session.run())
                await asyncio.sleep(0.05)
                session.publish_queue_counts({"desk": 3})
                session.publish_forecast(RoomForecast(99.0))
                channel.connected = True
                await asyncio.sleep(0.1)
                session.publish_states({"a": WorkflowState.DONE})
                await session.send_states_early({"a": WorkflowState.DONE})
                await asyncio.sleep(0.1)
                task.cancel()
                await asyncio.wait([task])
            early = PublishedStates(_TERM, {"a": WorkflowState.DONE}, number=1)
            self.assertIn(early, channel.sent)
            published = [
                message.published
                for message in channel.sent
                if isinstance(message, LeaderHeartbeat) and message.published
            ]
            first = PublishedStates(
                _TERM,
                {"a": WorkflowState.RUNNING},
                {"desk": 3},
                1,
                RoomForecast(99.0),
            )
            second = PublishedStates(
                _TERM, {"a": WorkflowState.DONE}, number=2
            )
            self.assertEqual([first, second], published)

        asyncio.run(run())

    def test_states_for_a_member_without_connection_are_bounded(
        self,
    ) -> None:
        """Guards against memory and a message that grow without bound.

        A removed machine is never connected again. A member that returns
        notices by the numbers that it has missed states.
        """

        async def run() -> None:
            channel = _Channel()
            session = MemberSession(
                MemberRecord("edge-2", "tcp://edge-2", "zone", 1.0),
                channel,  # type: ignore[arg-type]
                self.context,  # type: ignore[arg-type]
            )
            for number in range(10_000):
                session.publish_states({f"{number}": WorkflowState.RUNNING})
            channel.connected = True
            cache = PublishedStateCache()
            cache.update_states({"a": WorkflowState.RUNNING}, 0)
            with patch.object(member_session, "HEARTBEAT_INTERVAL_S", 0.01):
                task = asyncio.create_task(session.run())
                await asyncio.sleep(0.1)
                task.cancel()
                await asyncio.wait([task])
            (published,) = [
                message.published
                for message in channel.sent
                if isinstance(message, LeaderHeartbeat) and message.published
            ]
            self.assertLess(len(published.states), 2001)
            cache.update_states(published.states, published.number)
            self.assertIsNone(cache.get("a"))

        asyncio.run(run())

    def test_own_delay_is_not_the_silence_of_a_member(self) -> None:
        """Guards against a busy leader that drops what members sent it.

        It replaced all connections after a long step, with the results of
        its orders in them.
        """

        async def run() -> None:
            channel = _Channel()
            session = MemberSession(
                MemberRecord("edge-2", "tcp://edge-2", "zone", 1.0),
                channel,  # type: ignore[arg-type]
                self.context,  # type: ignore[arg-type]
            )
            clock = SimpleNamespace(now=lambda: self.context.now)
            self.context.clock = clock
            channel.messages.put_nowait(self._heartbeat())
            task = asyncio.create_task(session.run())
            await asyncio.sleep(0.1)
            self.context.now += 3.0
            await asyncio.sleep(0.6)
            self.assertEqual(0, channel.reconnect_count)
            task.cancel()
            await asyncio.wait([task])

        asyncio.run(run())

    def test_leader_whose_lease_has_ended_sends_no_heartbeat(self) -> None:
        """Guards against grants of a leader that was paused past its lease."""
        self.context.may_lead = lambda now: now < 101.0

        async def run() -> list[int]:
            channel = _Channel()
            session = MemberSession(
                MemberRecord("edge-2", "tcp://edge-2", "zone", 1.0),
                channel,  # type: ignore[arg-type]
                self.context,  # type: ignore[arg-type]
            )
            counts = []
            with patch.object(member_session, "HEARTBEAT_INTERVAL_S", 0.01):
                task = asyncio.create_task(session.run())
                for now in (100.0, 102.0):
                    self.context.now = now
                    channel.sent.clear()
                    await asyncio.sleep(0.1)
                    counts.append(len(channel.sent))
                task.cancel()
                await asyncio.wait([task])
            return counts

        before, after = asyncio.run(run())
        self.assertGreater(before, 0)
        self.assertEqual(0, after)
