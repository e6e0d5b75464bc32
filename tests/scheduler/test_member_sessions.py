"""Tests of the leader's sessions with all members."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import msgspec
from testtools import TestCase

from carawaystep.leadership.member_record import MemberRecord
from carawaystep.scheduler.member_sessions import MemberSessions
from carawaystep.store.row import Row
from tests.planner.planners import RecordingLog

_CONTEXT = SimpleNamespace(now=0.0, may_lead=lambda now: False)


class _Channel:
    """Connection that stays silent or fails."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.sent: list[object] = []
        self.closed = False
        self.broken = asyncio.Event()

    async def send(self, message: object) -> bool:
        self.sent.append(message)
        return True

    async def receive(self) -> object:
        await self.broken.wait()
        raise ValueError("broken")

    async def close(self) -> None:
        self.closed = True


class _Ports:
    """Opens channels and keeps them."""

    def __init__(self) -> None:
        self.channels: list[_Channel] = []
        self.log = RecordingLog()

    def open_member_channel(self, address: str) -> _Channel:
        self.channels.append(_Channel(address))
        return self.channels[-1]


def _row(address: str) -> Row:
    record = MemberRecord("edge-2", f"tcp://{address}:1", "zone", 1.0)
    return Row("edge-2", msgspec.to_builtins(record), 5, 5)


class MemberSessionsTest(TestCase):
    """One session for each member."""

    def setUp(self) -> None:
        """Create a collection without sessions."""
        super().setUp()
        self.ports = _Ports()
        self.sessions = MemberSessions(
            self.ports,  # type: ignore[arg-type]
            _CONTEXT,  # type: ignore[arg-type]
        )

    def test_member_at_a_new_address_gets_a_new_session(self) -> None:
        """Guards against messages to an address that the member has left.

        A record that is read again, unchanged, keeps its session.
        """

        async def open_sessions() -> None:
            for address in ("old", "old", "new"):
                self.sessions.open(_row(address))
                await asyncio.sleep(0.01)
            await self.sessions.broadcast(object())  # type: ignore[arg-type]
            self.sessions.cancel()

        asyncio.run(open_sessions())
        old, new = self.ports.channels
        self.assertEqual(
            ("tcp://old:1", "tcp://new:1"), (old.address, new.address)
        )
        self.assertTrue(old.closed)
        self.assertEqual((0, 1), (len(old.sent), len(new.sent)))

    def test_malformed_or_deleted_row_opens_no_session(self) -> None:
        """Guards against one row that ends each term, and against log floods.

        A row is logged again only when it was written again.
        """
        for version in (5, 5, 6):
            for value in (None, {"name": 5}):
                self.sessions.open(Row("edge-2", value, version, version))
        self.assertEqual({}, self.sessions.sessions)
        rejected = ("member.rejected", "edge-2")
        self.assertEqual([rejected, rejected], self.ports.log.events)

    def test_error_of_a_session_is_raised(self) -> None:
        """Guards against a leader that goes on without one of its members."""

        async def break_session() -> None:
            self.sessions.open(_row("old"))
            self.ports.channels[0].broken.set()
            async with asyncio.timeout(1.0):
                await self.sessions.raise_error()

        self.assertRaises(ExceptionGroup, lambda: asyncio.run(break_session()))
