"""Tests of the wait for leases that earlier leaders extended."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.planner.earlier_leases import EarlierLeases
from carawaystep.planner.earlier_leases import LastExtensions
from tests.planner.planners import LIMITS
from tests.planner.planners import new_planner
from tests.planner.planners import no_contacts
from tests.planner.planners import ONE_TASK
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import planner_with_workers
from tests.planner.planners import report
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec

_TERM_STARTED_AT = 100.0
_ALL_END_AT = _TERM_STARTED_AT + LIMITS.takeover_lost_after_s
_CALLERS = {
    "w1": frozenset({"tcp://edge-1"}),
    "w2": frozenset({"tcp://edge-1", "tcp://edge-2"}),
}


class EarlierLeasesTest(TestCase):
    """Leases of workers without a report in the term."""

    def setUp(self) -> None:
        """Start a term with two workers of which the callers are stored."""
        super().setUp()
        self.leases = EarlierLeases(LIMITS, _TERM_STARTED_AT)
        self.leases.restore(_CALLERS)

    def test_caller_that_is_not_heard_is_waited_for(self) -> None:
        """Guards against a second run while a paused caller may wake up."""
        for worker_id in ("w1", "w2", "unknown"):
            self.assertEqual(_ALL_END_AT, self.leases.end_at(worker_id))
        self.leases.record_follower("tcp://edge-2", _TERM_STARTED_AT)
        for worker_id in ("w1", "w2", "unknown"):
            self.assertEqual(_ALL_END_AT, self.leases.end_at(worker_id))

    def test_lost_leader_that_called_no_worker_is_not_waited_for(
        self,
    ) -> None:
        """Guards against work that waits for a process that is gone for good.

        A worker and the leader are lost; all callers of the worker live.
        """
        self.leases.record_follower("tcp://edge-1", 101.0)
        self.assertEqual(
            101.0 + LIMITS.lease_ends_after_s, self.leases.end_at("w1")
        )
        self.assertEqual(_ALL_END_AT, self.leases.end_at("w2"))
        self.leases.record_follower("tcp://edge-2", 104.0)
        self.leases.record_follower("tcp://edge-2", 120.0)
        self.assertEqual(
            104.0 + LIMITS.lease_ends_after_s, self.leases.end_at("w2")
        )
        self.assertEqual(_ALL_END_AT, self.leases.end_at("unknown"))

    def test_stated_extensions_end_the_wait_earlier(self) -> None:
        """Guards against a wait that begins anew with each election."""
        self.leases.record_follower("tcp://edge-1", 101.0)
        self.leases.record_extensions(
            "tcp://edge-1", LastExtensions({"w2": 99.5}, 90.0)
        )
        self.assertEqual(
            90.0 + LIMITS.lease_ends_after_s, self.leases.end_at("w1")
        )
        self.assertEqual(_ALL_END_AT, self.leases.end_at("w2"))
        self.leases.record_extensions("tcp://edge-2", LastExtensions({}, 98.0))
        self.assertEqual(
            99.5 + LIMITS.lease_ends_after_s, self.leases.end_at("w2")
        )

    def test_statement_of_a_restarted_process_does_not_count(self) -> None:
        """Guards against a process that denies what the one before did.

        It has extended nothing, but the one before may have until it ended.
        """
        self.leases.record_extensions("tcp://edge-1", LastExtensions({}, 99.0))
        self.assertEqual(
            99.0 + LIMITS.lease_ends_after_s, self.leases.end_at("w1")
        )
        self.leases.record_extensions(
            "tcp://edge-1", LastExtensions({}, 105.0)
        )
        self.assertEqual(
            99.0 + LIMITS.lease_ends_after_s, self.leases.end_at("w1")
        )

    def test_wait_is_never_longer_than_for_unknown_callers(self) -> None:
        """Guards against a follower that prolongs the wait."""
        self.leases.set_predecessor_stop_time(_TERM_STARTED_AT)
        all_end_at = _TERM_STARTED_AT + LIMITS.lost_after_s
        self.leases.record_follower("tcp://edge-1", 110.0)
        self.assertEqual(all_end_at, self.leases.end_at("w1"))


class LostWorkerTest(TestCase):
    """Stored runs of a worker that is gone when the leader changes."""

    def test_run_is_requeued_when_its_callers_have_stopped(self) -> None:
        """Guards against 18.5 s without a run after two losses."""
        first = planner_with_workers("w1")
        spec = workflow_spec(ONE_TASK)
        first.admit(spec, False)
        plan_and_take_starts(first)
        for listed in (True, False):
            planner = new_planner(_TERM_STARTED_AT)
            planner.earlier_leases.restore(_CALLERS)
            planner.restore(spec, first.workflows[spec.id].record())
            records = [worker_record("w2")]
            if listed:
                records.append(worker_record("w1"))
            planner.update_worker_list(records, 0.0)
            planner.earlier_leases.record_follower("tcp://edge-1", 101.0)
            now = 101.0 + LIMITS.lease_ends_after_s
            planner.handle_report(report("w2"), now)
            planner.requeue_lost_runs(now, no_contacts)
            self.assertEqual([], plan_and_take_starts(planner, now))
            planner.requeue_lost_runs(now + 0.1, no_contacts)
            self.assertEqual(1, len(plan_and_take_starts(planner, now + 0.1)))
