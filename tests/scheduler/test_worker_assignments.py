"""Tests of the assignments of workers to members."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from unittest.mock import create_autospec

from testtools import TestCase

from carawaystep.cluster.messages import AssignedWorker
from carawaystep.leadership.member_record import MemberRecord
from carawaystep.planner.planner import Planner
from carawaystep.scheduler.member_session import MemberSession
from carawaystep.scheduler.member_sessions import MemberSessions
from carawaystep.scheduler.worker_assignments import WorkerAssignments
from tests.planner.planners import worker_record

_RECORD = worker_record("w1")
_WORKER = _RECORD.key


class WorkerAssignmentsTest(TestCase):
    """Changes of the member that calls a worker."""

    def setUp(self) -> None:
        """Create assignments of one worker and two sessions."""
        super().setUp()
        self.planner = create_autospec(Planner, instance=True)
        self.planner.workers = {_WORKER: SimpleNamespace(record=_RECORD)}
        self.members = {
            name: create_autospec(MemberSession, instance=True)
            for name in ("edge-1", "edge-2")
        }
        self.sessions = create_autospec(MemberSessions, instance=True)
        self.sessions.sessions = self.members
        self.sessions.get = self.members.get
        self.assignments = WorkerAssignments(
            self.planner, self.sessions, "edge-3"
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
        self.members[name].assign.assert_called_once_with(
            [AssignedWorker(_WORKER, _RECORD.address)]
        )
        self.members[other].assign.assert_called_once_with([])

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

    def _update(self, *available: str) -> None:
        self.sessions.available.return_value = {
            name: MemberRecord(name, "tcp://127.0.0.1:1", "zone", 1.0)
            for name in available
        }
        asyncio.run(self.assignments.update(0.0))
