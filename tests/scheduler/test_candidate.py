"""Tests of campaigns for leadership."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from testtools import TestCase

from carawaystep.leadership.election import Election
from carawaystep.leadership.leader_record import LeaderRecord
from carawaystep.leadership.leadership import LEADER_LEASE_S
from carawaystep.leadership.leadership import Leadership
from carawaystep.scheduler.candidate import Candidate
from carawaystep.scheduler.store_health import StoreHealth
from carawaystep.store.row import Row
from carawaystep.store.table_commit import TableCommit
from carawaystep.store.table_failure import TableRefused
from tests.planner.planners import RecordingLog

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from carawaystep.store.operation import PutRow
    from carawaystep.store.table_failure import TableFailure


class _Clock:
    def __init__(self) -> None:
        self.time_s = 100.0

    def now(self) -> float:
        return self.time_s


class _Store:
    """Store with the leader row only; ``on_read`` runs during each read.

    :ivar written: values that were written to the row
    """

    def __init__(self) -> None:
        self.row: Row | None = None
        self.readable = True
        self.on_read: Callable[[], None] = lambda: None
        self.commit_revision = 50
        self.written: list[object] = []

    async def get(
        self, table: str, key: str
    ) -> Result[Row | None, TableFailure]:
        self.on_read()
        if not self.readable:
            return Err(TableRefused("the table is away"))
        return Ok(self.row)

    async def transact(self, operations: list[PutRow]) -> Ok[TableCommit]:
        self.written += [operation.value for operation in operations]
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
            LeaderRecord("edge-1", "new", "tcp://edge-1"),
            self.ports,  # type: ignore[arg-type]
            self.leadership,
            self.store_health,
        )

    def _store_leader(self, name: str, version: int) -> None:
        value = {"name": name, "incarnation": "x"}
        self.ports.store.row = Row("leader", value, version, version)

    def _elect(self) -> Election | None:
        return asyncio.run(self.candidate.campaign())

    def _campaign(self) -> int | None:
        election = self._elect()
        return None if election is None else election.term

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

    def test_reason_of_an_election_is_logged(self) -> None:
        """Guards against elections whose cause no log tells."""
        self.leadership.record_heartbeat(20, "edge-2", 0.0, 2.5, 99.9)
        self._store_leader("edge-2", 20)
        self.assertEqual(50, self._campaign())
        fields = self.ports.log.fields["leader.elected"]
        self.assertEqual("unconfirmed", fields["reason"])
        self.assertEqual(2.5, fields["confirmation_age_s"])

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

    def test_no_campaign_right_after_the_leader_row_was_away(self) -> None:
        """Guards against deposing a leader whose table was away for all.

        Other tables of the store have answered meanwhile, so that the store
        does not count as lost. The leader confirms its term as soon as the
        row can be read again.
        """
        self._store_leader("edge-2", 20)
        self.leadership.record_heartbeat(20, "edge-2", 0.0, 2.5, 99.9)
        self.ports.store.readable = False
        self.store_health.record_answer(99.9)
        self.assertIsNone(self._campaign())
        self.ports.store.readable = True
        self.assertIsNone(self._campaign())
        self.ports.clock.time_s += 0.9
        self.assertEqual(50, self._campaign())

    def test_leader_that_alone_misses_the_store_is_replaced(self) -> None:
        """Guards against waiting where only the leader is turned away."""
        self._store_leader("edge-2", 20)
        self.leadership.record_heartbeat(20, "edge-2", 0.0, 2.5, 99.9)
        self.assertEqual(50, self._campaign())

    def _store_leader_with_predecessor(self) -> None:
        """Store a leader that is followed from 90.0 s on."""
        value = {
            "name": "edge-2",
            "incarnation": "x",
            "address": "tcp://edge-2",
            "predecessors": {"tcp://edge-3": 7.0},
        }
        self.ports.store.row = Row("leader", value, 20, 20)
        self.leadership.record_heartbeat(20, "edge-2", 0.0, 0.0, 90.0)

    def test_predecessors_are_inherited_and_stored(self) -> None:
        """Guards against a leader that is forgotten after two elections.

        It may act until its own lease ends, and not for the full length of
        the lease after each election.
        """
        self._store_leader_with_predecessor()
        self.ports.clock.time_s = 95.0
        predecessors = {"tcp://edge-3": 2.0, "tcp://edge-2": LEADER_LEASE_S}
        self.assertEqual(Election(50, predecessors), self._elect())
        (written,) = self.ports.store.written
        self.assertEqual(
            {
                "name": "edge-1",
                "incarnation": "new",
                "address": "tcp://edge-1",
                "predecessors": predecessors,
                "needs_majority": False,
                "predecessors_need_majority": False,
            },
            written,
        )

    def test_leaders_of_earlier_versions_need_no_majority(self) -> None:
        """Guards against a short wait for one that gives grants without.

        Neither the leader in the row nor one before it may be of an earlier
        version, unless the lease of the latter has ended.
        """
        for needs_majority, all_need_it, now, expected in (
            (False, True, 95.0, False),
            (True, False, 95.0, False),
            (True, True, 95.0, True),
            (True, False, 98.0, True),
        ):
            self._store_leader_with_predecessor()
            row = self.ports.store.row
            assert row is not None
            row.value["needs_majority"] = needs_majority
            row.value["predecessors_need_majority"] = all_need_it
            self.ports.clock.time_s = now
            election = self._elect()
            assert election is not None
            self.assertIs(expected, election.predecessors_need_majority)

    def test_time_of_another_term_does_not_count(self) -> None:
        """Guards against leases that are counted from an earlier election.

        The process has not heard of the leader in the row yet.
        """
        self._store_leader_with_predecessor()
        row = self.ports.store.row
        assert row is not None
        self.ports.store.row = Row("leader", row.value, 21, 21)
        self.assertIsNone(self._elect())
        self.ports.clock.time_s += 1.0
        self.assertEqual(
            Election(
                50, {"tcp://edge-3": 7.0, "tcp://edge-2": LEADER_LEASE_S}
            ),
            self._elect(),
        )

    def test_predecessors_whose_leases_have_ended_are_dropped(self) -> None:
        """Guards against waiting for a node that was removed for good."""
        self._store_leader_with_predecessor()
        self.ports.clock.time_s = 97.0
        self.assertEqual(
            Election(50, {"tcp://edge-2": LEADER_LEASE_S}), self._elect()
        )

    def test_leader_without_an_address_is_an_unknown_predecessor(self) -> None:
        """Guards against trusting a row that another version has written.

        A leader of that version goes on although it follows a higher term.
        """
        for value in ({"name": "edge-2", "incarnation": "x"}, {"name": 5}):
            self.ports.store.row = Row("leader", value, 20, 20)
            self.leadership.record_heartbeat(20, "edge-2", 0.0, 0.0, 1.0)
            self.assertEqual(Election(50, {"": LEADER_LEASE_S}), self._elect())

    def test_applied_attempt_with_lost_answer_keeps_predecessors(self) -> None:
        """Guards against a second election that forgets predecessors."""
        predecessors = {"tcp://edge-3": 4.0}
        value = {
            "name": "edge-1",
            "incarnation": "new",
            "address": "tcp://edge-1",
            "predecessors": predecessors,
        }
        self.ports.store.row = Row("leader", value, 30, 30)
        self.assertEqual(Election(30, predecessors), self._elect())
