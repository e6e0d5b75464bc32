"""Tests of the runs of silent, restarted and removed workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.fleet.worker_report import EndedRun
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.step_spec import StepSpec
from tests.planner.planners import LIMITS
from tests.planner.planners import no_contacts
from tests.planner.planners import ONE_TASK
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import planner_with_workers
from tests.planner.planners import report
from tests.planner.planners import running
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from carawaystep.fleet.order import StartOrder
    from carawaystep.planner.planner import Planner


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
        planner.update_worker_list([worker_record("w2")], 0.0)
        planner.handle_report(report("w2"), 1.0 + LIMITS.lost_after_s)
        planner.requeue_lost_runs(1.0 + LIMITS.lost_after_s, no_contacts)
        self.assertEqual(
            [], plan_and_take_starts(planner, 1.0 + LIMITS.lost_after_s)
        )
        planner.requeue_lost_runs(1.1 + LIMITS.lost_after_s, no_contacts)
        self.assertEqual(
            1, len(plan_and_take_starts(planner, 1.1 + LIMITS.lost_after_s))
        )

    def test_restarted_worker_has_lost_its_runs(self) -> None:
        """Guards against waiting for runs of an earlier lifetime."""
        planner = planner_with_workers("w1")
        planner.admit(workflow_spec(ONE_TASK), False)
        (start,) = plan_and_take_starts(planner)
        planner.handle_report(report("w1", [running(start)]), 0.5)
        planner.update_worker_list([worker_record("w1", started_at_ms=2)], 0.0)
        planner.handle_report(report("w1", started_at_ms=2), 1.0)
        (again,) = plan_and_take_starts(planner, 1.0)
        self.assertEqual(WorkerKey("w1", 2), again.worker)

    def _planner_with_a_start_during_a_restart(
        self,
    ) -> tuple[Planner, StartOrder]:
        """Return a planner whose start was ordered from an ended lifetime.

        The first report of the later lifetime of w1 does not list the run.
        """
        planner = planner_with_workers("w1", "w2")
        planner.update_worker_list(
            [worker_record("w1"), worker_record("w2")], 0.0
        )
        spec = workflow_spec(
            StepSpec(2, cpu_millis=3000, memory_mb=100), max_attempts=3
        )
        planner.admit(spec, False)
        starts = {s.worker.id: s for s in plan_and_take_starts(planner)}
        planner.handle_report(report("w2", [running(starts["w2"])]), 0.1)
        later = report("w1", started_at_ms=2)
        planner.handle_report(later, 0.1)
        planner.update_worker_list(
            [worker_record("w1", started_at_ms=2), worker_record("w2")], 0.0
        )
        planner.handle_report(later, 0.2)
        return planner, starts["w1"]

    def test_start_that_a_later_lifetime_executes_is_not_repeated(
        self,
    ) -> None:
        """Guards against a second run beside a start during a restart.

        The later lifetime of the worker executes the start after its first
        report.
        """
        planner, start = self._planner_with_a_start_during_a_restart()
        self.assertFalse(planner.should_send(start, 0.1))
        self.assertEqual([], plan_and_take_starts(planner, 0.2))
        (stop,) = planner.take_immediate_orders()
        self.assertEqual(
            (WorkerKey("w1", 2), start.ref, start.run),
            (stop.worker, stop.ref, stop.run),
        )
        listed = report("w1", [running(start)], started_at_ms=2)
        planner.handle_report(listed, 0.3)
        self.assertEqual([], plan_and_take_starts(planner, 0.3))
        end = EndedRun(1, start.ref, start.run, RunEnd.STOPPED, "")
        planner.handle_report(report("w1", [], [end], started_at_ms=2), 0.4)
        (again,) = plan_and_take_starts(planner, 0.4)
        self.assertEqual((start.ref, 2), (again.ref, again.run))

    def test_start_that_no_later_lifetime_executes_is_repeated(self) -> None:
        """Guards against a task that waits for a start that was lost."""
        planner, start = self._planner_with_a_start_during_a_restart()
        (stop,) = planner.take_immediate_orders()
        planner.handle_order_outcome(stop, OrderOutcome.DONE, 0.3)
        for now in (0.3, 0.4):
            self.assertEqual([], plan_and_take_starts(planner, now))
            planner.handle_report(report("w1", started_at_ms=2), now)
        (again,) = plan_and_take_starts(planner, 0.4)
        self.assertEqual((start.ref, 2), (again.ref, again.run))
