"""Tests of the runs of silent, restarted and removed workers."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.fleet.worker_key import WorkerKey
from tests.planner.planners import LIMITS
from tests.planner.planners import ONE_TASK
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import planner_with_workers
from tests.planner.planners import report
from tests.planner.planners import running
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec


class LostWorkersTest(TestCase):
    """Leases of workers that the leader no longer hears from."""

    def test_runs_on_a_silent_worker_wait_until_its_lease_has_passed(
        self,
    ) -> None:
        """Guards against a second run while an unreachable worker has one."""
        planner = planner_with_workers("w1")
        planner.admit(workflow_spec(ONE_TASK), False)
        (start,) = plan_and_take_starts(planner)
        planner.handle_report(report("w1", [running(start)]), 1.0)
        planner.update_worker_list([worker_record("w2")])
        planner.handle_report(report("w2"), 1.0 + LIMITS.lost_after_s)
        planner.requeue_lost_runs(1.0 + LIMITS.lost_after_s)
        self.assertEqual(
            [], plan_and_take_starts(planner, 1.0 + LIMITS.lost_after_s)
        )
        planner.requeue_lost_runs(1.1 + LIMITS.lost_after_s)
        self.assertEqual(
            1, len(plan_and_take_starts(planner, 1.1 + LIMITS.lost_after_s))
        )

    def test_restarted_worker_has_lost_its_runs(self) -> None:
        """Guards against waiting for runs of an earlier lifetime."""
        planner = planner_with_workers("w1")
        planner.admit(workflow_spec(ONE_TASK), False)
        plan_and_take_starts(planner)
        planner.update_worker_list([worker_record("w1", started_at_ms=2)])
        planner.handle_report(report("w1", started_at_ms=2), 1.0)
        (again,) = plan_and_take_starts(planner, 1.0)
        self.assertEqual(WorkerKey("w1", 2), again.worker)
