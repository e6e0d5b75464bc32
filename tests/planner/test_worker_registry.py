"""Tests of the workers of one term."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.availability_zone.evacuated_zones import EvacuatedZones
from carawaystep.fleet.tracked_worker import TrackedWorker
from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.planner.earlier_leases import EarlierLeases
from carawaystep.planner.worker_registry import WorkerRegistry
from carawaystep.planner.workflow_registry import WorkflowRegistry
from carawaystep.workflow.step_spec import StepSpec
from tests.planner.planners import LIMITS
from tests.planner.planners import no_contacts
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec

_TERM_STARTED_AT = 10.0
_FIRST = WorkerKey("w1", 1)
_SECOND = WorkerKey("w1", 2)


class WorkerRegistryTest(TestCase):
    """Listed and unlisted workers and their lifetimes."""

    def setUp(self) -> None:
        """Start a term with a stored run on the first lifetime of w1."""
        super().setUp()
        workflows = WorkflowRegistry()
        self.workflow = workflows.add(
            workflow_spec(StepSpec(1, cpu_millis=1000))
        )
        (self.ref,) = self.workflow.ready_tasks(2000.0)
        self.workflow.place(self.ref, _FIRST)
        self.earlier_leases = EarlierLeases(LIMITS, _TERM_STARTED_AT)
        self.workers = WorkerRegistry(
            workflows,
            LIMITS,
            self.earlier_leases,
            EvacuatedZones(in_force=False),
            _TERM_STARTED_AT,
        )
        self.workers.await_listing(_FIRST)

    def test_added_worker_has_its_stored_runs(self) -> None:
        """Guards against capacity that a run of the last term still uses."""
        self.workers.update_list([worker_record("w1", cpu_millis=4000)], 0.0)
        (worker,) = self.workers
        self.assertEqual([self.ref], list(worker.runs))
        self.assertEqual(3000, worker.free_cpu_millis)

    def test_unlisted_worker_stays_while_it_may_have_runs(self) -> None:
        """Guards against runs that are forgotten with their worker."""
        self.workers.update_list([worker_record("w1")], 0.0)
        self.assertEqual([], self.workers.update_list([], 0.0))
        (worker,) = self.workers
        self.assertFalse(worker.listed)
        worker.remove(self.ref, 1)
        self.assertEqual([_FIRST], self.workers.update_list([], 0.0))
        self.assertEqual([], list(self.workers))

    def test_wait_for_an_unlisted_worker_ends_once_after_the_limit(
        self,
    ) -> None:
        """Guards against a second run before the lease of the first ends."""
        limit = _TERM_STARTED_AT + LIMITS.takeover_lost_after_s
        self.assertEqual([], self.workers.take_overdue_unlisted(limit))
        self.assertEqual(
            [_FIRST], self.workers.take_overdue_unlisted(limit + 0.1)
        )
        self.assertEqual([], self.workers.take_overdue_unlisted(limit + 0.2))

    def test_wait_is_shorter_once_the_predecessors_have_stopped(self) -> None:
        """Guards against work that waits for leases nobody can extend."""
        stopped_at = _TERM_STARTED_AT + 3.0
        self.earlier_leases.set_predecessor_stop_time(stopped_at)
        self.earlier_leases.set_predecessor_stop_time(stopped_at + 1.0)
        limit = stopped_at + LIMITS.lost_after_s
        self.assertEqual([], self.workers.take_overdue_unlisted(limit))
        self.assertEqual(
            [_FIRST], self.workers.take_overdue_unlisted(limit + 0.1)
        )

    def test_predecessors_that_stop_late_do_not_prolong_the_wait(self) -> None:
        """Guards against a wait that outlasts the leases of predecessors."""
        limit = _TERM_STARTED_AT + LIMITS.takeover_lost_after_s
        self.earlier_leases.set_predecessor_stop_time(limit - 1.0)
        self.assertEqual(
            [_FIRST], self.workers.take_overdue_unlisted(limit + 0.1)
        )

    def test_listed_worker_is_not_awaited(self) -> None:
        """Guards against the loss of runs on a worker that is listed."""
        self.workers.update_list([worker_record("w1")], 0.0)
        self.assertEqual([], self.workers.take_overdue_unlisted(100.0))
        second = TrackedWorker(worker_record("w1", started_at_ms=2))
        self.assertEqual([], self.workers.adopt_unlisted_before(second))

    def test_report_of_a_later_lifetime_ends_the_wait(self) -> None:
        """Guards against waiting for a lifetime that is over."""
        first, second = (
            TrackedWorker(worker_record("w1", started_at_ms=started_at_ms))
            for started_at_ms in (1, 2)
        )
        self.assertEqual([], self.workers.adopt_unlisted_before(first))
        self.assertEqual(
            [self.workflow], self.workers.adopt_unlisted_before(second)
        )
        self.assertEqual([self.ref], list(second.runs))
        self.assertEqual(_SECOND, self.workflow.task(self.ref).worker)
        self.assertEqual([], self.workers.take_overdue_unlisted(100.0))

    def test_earlier_lifetime_that_is_listed_late_is_found(self) -> None:
        """Guards against runs of a lifetime that is over.

        The platform's list may still show it after the later lifetime has
        reported.
        """
        self.workers.update_list([worker_record("w1", started_at_ms=2)], 0.0)
        self.assertTrue(self.workers.record_lifetime(_SECOND))
        self.assertFalse(self.workers.record_lifetime(_SECOND))
        self.workers.update_list([worker_record("w1", started_at_ms=1)], 0.0)
        self.assertTrue(self.workers.record_lifetime(_SECOND))
        (earlier,) = self.workers.earlier_lifetimes(_SECOND)
        self.assertEqual(_FIRST, earlier.key)

    def test_lease_of_a_silent_worker_expires_after_its_last_report(
        self,
    ) -> None:
        """Guards against runs requeued within a lease that may be valid.

        Without a report in this term, an earlier leader may have extended
        the lease, which then ends later.
        """
        self.workers.update_list(
            [worker_record("w1"), worker_record("w2")], 0.0
        )
        reporting = self.workers.workers[WorkerKey("w2", 1)]
        reporting.record_report(_TERM_STARTED_AT, leaving=False)
        limit = _TERM_STARTED_AT + LIMITS.lost_after_s
        self.assertEqual([], self.workers.without_lease(limit, no_contacts))
        self.assertEqual(
            [reporting], self.workers.without_lease(limit + 0.1, no_contacts)
        )
        limit = _TERM_STARTED_AT + LIMITS.takeover_lost_after_s
        self.assertEqual(
            [reporting], self.workers.without_lease(limit, no_contacts)
        )
        self.assertEqual(
            2, len(self.workers.without_lease(limit + 0.1, no_contacts))
        )

    def test_lease_without_predecessors_ends_without_a_report(self) -> None:
        """Guards against work that waits for leases nobody can extend."""
        self.workers.update_list([worker_record("w1")], 0.0)
        self.earlier_leases.set_predecessor_stop_time(_TERM_STARTED_AT)
        limit = _TERM_STARTED_AT + LIMITS.lost_after_s
        self.assertEqual([], self.workers.without_lease(limit, no_contacts))
        self.assertEqual(
            1, len(self.workers.without_lease(limit + 0.1, no_contacts))
        )

    def test_lease_may_last_after_the_last_contact_with_a_member(self) -> None:
        """Guards against a lease that a member extended without the leader.

        Its report of the worker's answer is lost with the connection. A
        member that is heard later would have reported an answer. The lease
        may be extended once more in a second silence.
        """
        self.workers.update_list([worker_record("w1")], 0.0)
        (worker,) = self.workers
        worker.record_report(_TERM_STARTED_AT, leaving=False)
        limit = _TERM_STARTED_AT + LIMITS.lost_after_s
        heard_at = limit - 1.0
        lease_end = heard_at + LIMITS.lost_after_s
        for now, contact_times, expected in (
            (limit + 0.1, [heard_at], []),
            (limit + 0.1, [limit + 0.1], [worker]),
            (lease_end, [heard_at, limit + 0.1], []),
            (lease_end + 0.1, [heard_at, lease_end + 0.1], [worker]),
            (lease_end + 0.1, [lease_end - 1.0, heard_at], []),
        ):
            self.assertEqual(
                expected,
                self.workers.without_lease(
                    now, {_FIRST: contact_times}.__getitem__
                ),
                (now, contact_times),
            )
