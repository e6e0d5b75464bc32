"""Tests of the assignments of workers to members."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING
from unittest.mock import create_autospec

from testtools import TestCase

from carawaystep.cluster.messages import AssignedWorker
from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.leadership.leadership import GRANT_S
from carawaystep.leadership.member_record import MemberRecord
from carawaystep.leadership.predecessors import Predecessors
from carawaystep.planner.earlier_leases import EarlierLeases
from carawaystep.planner.planner import Planner
from carawaystep.scheduler.lifetime_tokens import LifetimeTokens
from carawaystep.scheduler.member_session import MemberSession
from carawaystep.scheduler.member_sessions import MemberSessions
from carawaystep.scheduler.worker_assignments import WorkerAssignments
from carawaystep.scheduler.worker_callers import WorkerCallers
from tests.planner.planners import LIMITS
from tests.planner.planners import worker_record

if TYPE_CHECKING:
    from collections.abc import Mapping

_LEASE_ENDS_AFTER_S = 6.5
_TERM = 7
_RECORD = worker_record("w1")
_WORKER = _RECORD.key


def _member_record(name: str) -> MemberRecord:
    return MemberRecord(name, f"tcp://{name}", "zone", 1.0)


class _Repository:
    """Keeps the callers of workers in memory, or fails to store them."""

    def __init__(self) -> None:
        self.callers: dict[str, frozenset[str]] = {}
        self.fails = False
        self._commits = 20

    def revision(self, worker_id: str) -> int:
        return self._commits

    async def load(self) -> dict[str, frozenset[str]]:
        return dict(self.callers)

    async def store(
        self, callers: Mapping[str, frozenset[str]]
    ) -> Mapping[str, frozenset[str]]:
        if self.fails:
            return {}
        self._commits += 1
        for worker_id, addresses in callers.items():
            if addresses:
                self.callers[worker_id] = addresses
            else:
                del self.callers[worker_id]
        return callers


class WorkerAssignmentsTest(TestCase):
    """Changes of the member that calls a worker."""

    def setUp(self) -> None:
        """Create assignments of one worker and two sessions."""
        super().setUp()
        self.planner = create_autospec(Planner, instance=True)
        self.planner.workers = {_WORKER: SimpleNamespace(record=_RECORD)}
        self.planner.unlisted_worker_ids = set()
        self.planner.earlier_leases = EarlierLeases(LIMITS, 0.0)
        self.members = {
            name: create_autospec(MemberSession, instance=True)
            for name in ("edge-1", "edge-2")
        }
        for name, session in self.members.items():
            session.record = _member_record(name)
            session.contact_times = []
            session.last_heartbeat_at = None
            session.has_dropped.return_value = False
        self.sessions = create_autospec(MemberSessions, instance=True)
        self.sessions.sessions = self.members
        self.sessions.get = self.members.get
        self.repository = _Repository()
        self.assignments = self._new_assignments()

    def _new_assignments(self) -> WorkerAssignments:
        return WorkerAssignments(
            self.planner,
            self.sessions,
            "edge-3",
            WorkerCallers(_LEASE_ENDS_AFTER_S),
            self.repository,  # type: ignore[arg-type]
            Predecessors({"tcp://gone": 10.0}, 0.0),
            LifetimeTokens(_TERM),
        )

    def test_change_of_the_member_is_a_reassignment(self) -> None:
        """Guards against confirmations that count after a change of member."""
        self._update("edge-1")
        self._update("edge-1")
        self.planner.handle_reassignment.assert_called_once_with(_WORKER)
        self._update("edge-2")
        self.assertEqual(2, self.planner.handle_reassignment.call_count)
        self.assertIs(
            self.members["edge-2"], self.assignments.session_for(_WORKER)
        )

    def test_available_member_without_workers_is_told_so(self) -> None:
        """Guards against two members that call the same worker."""
        self._update("edge-1", "edge-2")
        name = self.assignments.member_name(_WORKER)
        (other,) = self.members.keys() - {name}
        self.members[name].assign.assert_called_with(
            [AssignedWorker(_WORKER, _RECORD.address, _TERM, "zone")]
        )
        self.assertEqual(
            {"[]"},
            {str(c.args[0]) for c in self.members[other].assign.mock_calls},
        )

    def test_assignment_stays_without_an_available_member(self) -> None:
        """Guards against orders that have no way to a worker in use."""
        self._update("edge-1")
        self._update()
        self.assertEqual("edge-1", self.assignments.member_name(_WORKER))

    def test_contacts_include_members_that_called_a_worker_before(
        self,
    ) -> None:
        """Guards against leases that a former member extended unnoticed."""
        self.members["edge-1"].contact_times = [3.0, 5.0]
        self.members["edge-2"].contact_times = [7.0]
        self.assertEqual([], self.assignments.contact_times(_WORKER))
        self._update("edge-1")
        self._update("edge-2")
        times = self.assignments.contact_times(_WORKER)
        self.assertEqual([3.0, 5.0, 7.0], sorted(times))
        self.planner.workers = {}
        self._update("edge-2")
        self.assertEqual([], self.assignments.contact_times(_WORKER))

    def test_member_calls_a_worker_only_as_a_stored_caller(self) -> None:
        """Guards against a caller of which no later leader knows.

        That leader would take the worker's lease for ended while a paused
        or cut-off process still extends it.
        """
        self.repository.fails = True
        self._update("edge-1")
        self.members["edge-1"].assign.assert_called_with([])
        self.assertEqual("", self.assignments.member_name(_WORKER))
        self.repository.fails = False
        self._update("edge-1")
        self.assertEqual(
            {_WORKER.id: {"tcp://edge-1"}}, self.repository.callers
        )
        self.members["edge-1"].assign.assert_called_with(
            [AssignedWorker(_WORKER, _RECORD.address, _TERM, "zone")]
        )
        # Without the store, the worker stays with its member.
        self.repository.fails = True
        self._update("edge-2")
        self.assertEqual("edge-1", self.assignments.member_name(_WORKER))
        self.members["edge-2"].assign.assert_called_with([])

    def test_former_caller_stays_stored_while_its_leases_last(self) -> None:
        """Guards against a lease that a later leader takes for ended."""
        self._update("edge-1")
        self._update("edge-2", now=1.0)
        both = {"tcp://edge-1", "tcp://edge-2"}
        self.members["edge-1"].last_heartbeat_at = 50.0
        self._update("edge-2", now=51.0)
        self.assertEqual({_WORKER.id: both}, self.repository.callers)
        self.members["edge-1"].has_dropped.return_value = True
        for now, callers in (
            (52.0, both),
            (52.0 + _LEASE_ENDS_AFTER_S - 0.1, both),
            (52.0 + _LEASE_ENDS_AFTER_S + 1.0, both - {"tcp://edge-1"}),
        ):
            self._update("edge-2", now=now)
            self.assertEqual(
                {_WORKER.id: callers}, self.repository.callers, str(now)
            )

    def test_silent_former_caller_is_dropped_after_its_grant(self) -> None:
        """Guards against a later leader that waits for a removed member.

        One that was never heard may hold a grant of an earlier leader.
        """
        self._update("edge-1")
        self._update("edge-2", now=1.0)
        last_grant_s = 10.0 + GRANT_S
        for now, count in (
            (last_grant_s - 1.0, 2),
            (last_grant_s + 0.1, 2),
            (last_grant_s + _LEASE_ENDS_AFTER_S, 2),
            (last_grant_s + _LEASE_ENDS_AFTER_S + 1.2, 1),
        ):
            self._update("edge-2", now=now)
            self.assertEqual(count, len(self.repository.callers[_WORKER.id]))

    def test_callers_of_a_removed_worker_are_deleted(self) -> None:
        """Guards against rows of all workers that there ever were.

        They stay while stored runs of the worker are awaited.
        """
        self._update("edge-1")
        self.planner.workers = {}
        self.members["edge-1"].has_dropped.return_value = True
        self.planner.unlisted_worker_ids = {_WORKER.id}
        self._update("edge-1", now=1.0)
        self._update("edge-1", now=30.0)
        self.assertIn(_WORKER.id, self.repository.callers)
        self.planner.unlisted_worker_ids = set()
        self._update("edge-1", now=32.0)
        self._update("edge-1", now=40.0)
        self.assertEqual({}, self.repository.callers)

    def test_later_lifetime_is_called_with_a_token_of_a_commit(self) -> None:
        """Guards against calls to an earlier lifetime that are executed.

        Until the commit, the later one is not called.
        """
        self._update("edge-1")
        later = worker_record("w1", started_at_ms=2)
        self.planner.workers = {later.key: SimpleNamespace(record=later)}
        self.repository.fails = True
        self._update("edge-1", now=1.0)
        self.members["edge-1"].assign.assert_called_with([])
        self.repository.fails = False
        self._update("edge-1", now=3.0)
        token = self.repository.revision("w1")
        self.assertGreater(token, _TERM)
        self.members["edge-1"].assign.assert_called_with(
            [AssignedWorker(later.key, later.address, token, "zone")]
        )

    def test_stored_callers_of_an_earlier_term_stay(self) -> None:
        """Guards against forgetting who was called by an earlier leader."""
        self._update("edge-1")
        self.assignments = self._new_assignments()
        asyncio.run(self.assignments.load())
        self._update("edge-2", now=1.0)
        self.assertEqual(2, len(self.repository.callers[_WORKER.id]))

    def test_member_that_is_away_loses_its_workers(self) -> None:
        """Guards against calls by a member that is stored no more.

        It would go on with its last list when it is heard again, until it
        is told of another one.
        """
        self._update("edge-1")
        self._update("edge-2", now=5.0)
        self.members["edge-1"].assign.assert_called_with([])

    def test_new_leader_uses_stored_callers_without_a_write(self) -> None:
        """Guards against leases that end while a term begins.

        After a loss of power of all machines, the callers of hundreds of
        workers were written before any was called.
        """
        self._update("edge-1")
        self.assignments = self._new_assignments()
        asyncio.run(self.assignments.load())
        self.repository.fails = True
        self._set_available("edge-1", "edge-2")
        asyncio.run(self.assignments.update(5.0))
        self.assertEqual("edge-1", self.assignments.member_name(_WORKER))
        self.members["edge-1"].assign.assert_called_with(
            [AssignedWorker(_WORKER, _RECORD.address, _TERM, "zone")]
        )

    def test_callers_are_stored_when_members_have_settled(self) -> None:
        """Guards against writing all callers for each member that arrives."""
        self._set_available("edge-1")
        asyncio.run(self.assignments.update(5.0))
        self.assertEqual({}, self.repository.callers)
        self._set_available("edge-1", "edge-2")
        asyncio.run(self.assignments.update(5.2))
        asyncio.run(self.assignments.update(5.4))
        self.assertEqual({}, self.repository.callers)
        asyncio.run(self.assignments.update(5.6))
        self.assertEqual(1, len(self.repository.callers[_WORKER.id]))
        # Members that come and go all the time do not delay it for long.
        self.planner.workers = {
            key: SimpleNamespace(record=worker_record(key.id))
            for key in (_WORKER, WorkerKey("w2", 1))
        }
        for number in range(12):
            names = ["edge-1", "edge-2"][: 1 + number % 2]
            self._set_available(*names)
            asyncio.run(self.assignments.update(6.0 + 0.1 * number))
        self.assertIn("w2", self.repository.callers)

    def _update(self, *available: str, now: float = 0.0) -> None:
        """Update until the members have settled."""
        self._set_available(*available)
        for later_s in (0.0, 0.3, 1.0):
            asyncio.run(self.assignments.update(now + later_s))

    def _set_available(self, *names: str) -> None:
        self.sessions.available.return_value = {
            name: _member_record(name) for name in names
        }
