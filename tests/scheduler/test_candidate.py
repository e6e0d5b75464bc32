"""Tests of the attempts to become the leader."""

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
from tests.planner.planners import SilentLog

if TYPE_CHECKING:
    from collections.abc import Callable


class _Clock:
    def __init__(self) -> None:
        self.at = 100.0

    def now(self) -> float:
        return self.at


class _Table:
    """One row, and what happens while it is read."""

    def __init__(self) -> None:
        self.row: Row | None = None
        self.on_read: Callable[[], None] = lambda: None
        self.commit = 50

    async def get(self, table: str, key: str) -> Ok[Row | None]:
        self.on_read()
        return Ok(self.row)

    async def transact(self, operations: object) -> Ok[TableCommit]:
        return Ok(TableCommit(self.commit, (self.commit,)))


class _Ports:
    def __init__(self) -> None:
        self.clock = _Clock()
        self.table = _Table()
        self.log = SilentLog()


class CandidateTest(TestCase):
    """Challenges of one process."""

    def setUp(self) -> None:
        """Compose a candidate that has run for a while."""
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

    def _lead(self, name: str, version: int) -> None:
        value = {"name": name, "incarnation": "x"}
        self.ports.table.row = Row("leader", value, version, version)

    def _challenge(self) -> int | None:
        return asyncio.run(self.candidate.campaign())

    def test_vacant_row_is_taken(self) -> None:
        """Guards against an installation that never gets a leader."""
        self.assertEqual(50, self._challenge())

    def test_new_leader_is_given_time_to_show_itself(self) -> None:
        """Guards against candidates that depose each other in turn."""
        self._lead("edge-2", 20)
        self.assertIsNone(self._challenge())
        self.ports.clock.at += 1.0
        self.assertEqual(50, self._challenge())

    def test_own_earlier_process_is_replaced_at_once(self) -> None:
        """Guards against waiting for a process that this one replaces."""
        self._lead("edge-1", 20)
        self.assertEqual(50, self._challenge())

    def test_own_attempt_without_an_answer_is_recognised(self) -> None:
        """Guards against a second election after a lost answer."""
        value = {"name": "edge-1", "incarnation": "new"}
        self.ports.table.row = Row("leader", value, 30, 30)
        self.assertEqual(30, self._challenge())

    def test_term_that_was_led_is_not_led_again(self) -> None:
        """Guards against a second planner under one fencing token."""
        self.assertEqual(50, self._challenge())
        value = {"name": "edge-1", "incarnation": "new"}
        self.ports.table.row = Row("leader", value, 50, 50)
        self.ports.table.commit = 60
        self.assertEqual(60, self._challenge())

    def test_new_leader_is_given_more_time_by_a_slow_store(self) -> None:
        """Guards against deposing a leader that waits for slow answers."""
        self._lead("edge-2", 20)

        def slow() -> None:
            self.ports.clock.at += 0.3

        self.ports.table.on_read = slow
        self.assertIsNone(self._challenge())
        self.ports.clock.at += 1.0
        self.assertIsNone(self._challenge())
        self.ports.clock.at += 1.0
        self.assertEqual(50, self._challenge())

    def test_leader_that_is_heard_during_the_read_is_kept(self) -> None:
        """Guards against deposing a leader whose first sign came late."""
        self._lead("edge-2", 20)
        self.ports.table.on_read = lambda: self.assertTrue(
            self.leadership.record_heartbeat(20, "edge-2", 0.0, 0.0, 100.0)
        )
        self.assertIsNone(self._challenge())

    def test_no_challenge_right_after_the_store_has_returned(self) -> None:
        """Guards against deposing a leader after a cut of one's own."""
        self._lead("edge-2", 20)
        self.leadership.record_heartbeat(20, "edge-2", 0.0, 0.0, 90.0)
        self.store_health.record_failure("silent", 99.0)
        self.store_health.record_answer(99.9)
        self.assertIsNone(self._challenge())
        self.ports.clock.at = 101.0
        self.assertEqual(50, self._challenge())
