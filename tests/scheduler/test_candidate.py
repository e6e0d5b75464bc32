"""Tests of campaigns for leadership."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Ok
from testtools import TestCase

from carawaystep.leadership.leadership import Leadership
from carawaystep.scheduler.candidate import Candidate
from carawaystep.scheduler.store_health import StoreHealth
from carawaystep.store.row import Row
from carawaystep.store.table_commit import TableCommit
from tests.planner.planners import RecordingLog

if TYPE_CHECKING:
    from collections.abc import Callable


class _Clock:
    def __init__(self) -> None:
        self.time_s = 100.0

    def now(self) -> float:
        return self.time_s


class _Store:
    """Store with the leader row only; ``on_read`` runs during each read."""

    def __init__(self) -> None:
        self.row: Row | None = None
        self.on_read: Callable[[], None] = lambda: None
        self.commit_revision = 50

    async def get(self, table: str, key: str) -> Ok[Row | None]:
        self.on_read()
        return Ok(self.row)

    async def transact(self, operations: object) -> Ok[TableCommit]:
        return Ok(TableCommit(self.commit_revision, (self.commit_revision,)))


class _Ports:
    def __init__(self) -> None:
        self.clock = _Clock()
        self.store = _Store()
        self.log = RecordingLog()


class CandidateTest(TestCase):
    """Campaigns of one process."""

    def setUp(self) -> None:
        """Create a candidate that has received no heartbeat for 100 s."""
        super().setUp()
        self.ports = _Ports()
        self.leadership = Leadership("edge-1", 1.0, 0.0)
        self.store_health = StoreHealth(self.ports.log, 0.0)
        self.store_health.record_answer(1.0)
        self.candidate = Candidate(
            "edge-1",
            "new",
            self.ports,  # type: ignore[arg-type]
            self.leadership,
            self.store_health,
        )

    def _store_leader(self, name: str, version: int) -> None:
        value = {"name": name, "incarnation": "x"}
        self.ports.store.row = Row("leader", value, version, version)

    def _campaign(self) -> int | None:
        return asyncio.run(self.candidate.campaign())

    def test_missing_leader_row_is_claimed(self) -> None:
        """Guards against a new installation that never elects a leader."""
        self.assertEqual(50, self._campaign())

    def test_new_leader_gets_a_grace_period(self) -> None:
        """Guards against candidates that depose each other in turn.

        A new leader has sent no heartbeat yet when its row is first read.
        """
        self._store_leader("edge-2", 20)
        self.assertIsNone(self._campaign())
        self.ports.clock.time_s += 1.0
        self.assertEqual(50, self._campaign())

    def test_earlier_process_of_same_node_is_replaced_at_once(self) -> None:
        """Guards against waiting for a process that this one replaces.

        The earlier process of the same node no longer runs.
        """
        self._store_leader("edge-1", 20)
        self.assertEqual(50, self._campaign())

    def test_applied_attempt_with_lost_answer_is_recognised(self) -> None:
        """Guards against a second election after the first was applied."""
        value = {"name": "edge-1", "incarnation": "new"}
        self.ports.store.row = Row("leader", value, 30, 30)
        self.assertEqual(30, self._campaign())

    def test_ended_term_is_not_resumed(self) -> None:
        """Guards against two planners that use the same fencing token.

        Orders of the ended term may still be in flight.
        """
        self.assertEqual(50, self._campaign())
        value = {"name": "edge-1", "incarnation": "new"}
        self.ports.store.row = Row("leader", value, 50, 50)
        self.ports.store.commit_revision = 60
        self.assertEqual(60, self._campaign())

    def test_slow_store_extends_the_grace_period(self) -> None:
        """Guards against deposing a leader that waits for a slow store."""
        self._store_leader("edge-2", 20)

        def delay_read() -> None:
            self.ports.clock.time_s += 0.3

        self.ports.store.on_read = delay_read
        self.assertIsNone(self._campaign())
        self.ports.clock.time_s += 1.0
        self.assertIsNone(self._campaign())
        self.ports.clock.time_s += 1.0
        self.assertEqual(50, self._campaign())

    def test_heartbeat_during_the_read_stops_the_campaign(self) -> None:
        """Guards against deposing a leader whose heartbeat came late."""
        self._store_leader("edge-2", 20)
        self.ports.store.on_read = lambda: self.assertTrue(
            self.leadership.record_heartbeat(20, "edge-2", 0.0, 0.0, 100.0)
        )
        self.assertIsNone(self._campaign())

    def test_no_campaign_right_after_a_store_outage(self) -> None:
        """Guards against deposing a working leader after a partition.

        A process that was partitioned itself has missed the heartbeats.
        """
        self._store_leader("edge-2", 20)
        self.leadership.record_heartbeat(20, "edge-2", 0.0, 0.0, 90.0)
        self.store_health.record_failure("silent", 99.0)
        self.store_health.record_answer(99.9)
        self.assertIsNone(self._campaign())
        self.ports.clock.time_s = 101.0
        self.assertEqual(50, self._campaign())
