"""Tests of the session with a peer."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from result import Err
from result import Ok
from testtools import TestCase

from carawaystep.availability_zone.fleet_view import FleetView
from carawaystep.entry.peer_session import PeerSession
from carawaystep.membership.entry_record import EntryRecord
from carawaystep.peer.messages import EntryLoad
from carawaystep.peer.peer_failure import PeerFailure
from tests.standin.event_loops import now
from tests.standin.event_loops import virtual_time

_LOAD = EntryLoad("e2", "e2-1", "arima", 3, 0, 1, True, False)


class _DelayedLink:
    """Link that connects some time after it was opened."""

    def __init__(self, connects_after_s: float) -> None:
        self.connects_at = now() + connects_after_s
        self.closed = False

    async def heartbeat(self, load, timeout_s):
        if now() < self.connects_at:
            return Err(PeerFailure("not connected", sent=False))
        return Ok(_LOAD)

    async def close(self):
        self.closed = True


class _StubState:
    """Stub of EntryState with the members that a session uses."""

    def __init__(self, connects_after_s: float) -> None:
        self.settings = SimpleNamespace(availability_zone="arima")
        self.fleet_view = FleetView("arima")
        self.links: list[_DelayedLink] = []
        self.ports = SimpleNamespace(peer=self._open)
        self.events: list[str] = []
        self._connects_after_s = connects_after_s

    @property
    def now(self) -> float:
        return now()

    def own_load(self) -> EntryLoad:
        return _LOAD

    def record_peer_load(self, load: EntryLoad) -> None:
        self.fleet_view.record_load(load, now())

    def record_event(self, kind: str, subject: str) -> None:
        self.events.append(kind)

    async def _open(self, address: str) -> _DelayedLink:
        self.links.append(_DelayedLink(self._connects_after_s))
        return self.links[-1]


class PeerSessionTest(TestCase):
    """Tests when a link is kept and when it is replaced."""

    async def _run(self, state: _StubState, seconds: float) -> PeerSession:
        record = EntryRecord(
            "e2", "e2-1", "arima", "http://e2", "tcp://e2", 1, False, 1
        )
        session = PeerSession(state, record)
        task = asyncio.create_task(session.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(seconds)
        return session

    @virtual_time
    async def test_a_link_that_needs_time_to_connect_is_kept(self) -> None:
        """Guards against closing a link at its first failed heartbeat.

        Closed at its first failed heartbeat, no link over a network connected.
        """
        state = _StubState(connects_after_s=0.05)
        session = await self._run(state, 10.0)
        self.assertTrue(session.connected)
        self.assertEqual(1, len(state.links))
        self.assertEqual(["peer.connected"], state.events)

    @virtual_time
    async def test_a_link_that_stays_silent_is_replaced(self) -> None:
        """Guards against keeping a link that never answers.

        The peer would stay unreachable although a new link could connect.
        """
        state = _StubState(connects_after_s=60.0)
        session = await self._run(state, 10.0)
        self.assertFalse(session.connected)
        self.assertTrue(state.links[0].closed)
        self.assertIn(len(state.links), (2, 3))

    @virtual_time
    async def test_a_failed_heartbeat_marks_the_peer_lost(self) -> None:
        """Guards against forwarding requests to a peer that is silent."""
        state = _StubState(connects_after_s=0.0)
        session = await self._run(state, 2.5)
        state.links[0].connects_at = now() + 1.0
        await asyncio.sleep(0.7)
        self.assertFalse(session.connected)
        self.assertIsNone(state.fleet_view.load_of("e2", now()))
        await asyncio.sleep(1.0)
        self.assertTrue(session.connected)
        self.assertEqual(1, len(state.links))
