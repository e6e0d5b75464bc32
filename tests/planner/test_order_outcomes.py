"""Tests of the planner's reaction to the outcomes of orders."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.fleet.order import StopOrder
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.fleet.worker_report import EndedRun
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.step_spec import StepSpec
from carawaystep.workflow.workflow_state import WorkflowState
from tests.planner.planners import ONE_TASK
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import planner_with_workers
from tests.planner.planners import report
from tests.planner.planners import running
from tests.workflow.workflows import workflow_spec


class OrderOutcomeTest(TestCase):
    """Starts and stops that were refused, unanswered or too late."""

    def test_unanswered_start_is_not_repeated_when_its_stop_is_confirmed(
        self,
    ) -> None:
        """Guards against a second run while the first is being stopped.

        A worker confirms a stop before the run has ended. Only a report
        requested after the confirmation shows that the run does not exist.
        """
        planner = planner_with_workers("w1", "w2")
        planner.admit(workflow_spec(ONE_TASK), False)
        (start,) = plan_and_take_starts(planner)
        planner.handle_order_outcome(start, OrderOutcome.UNKNOWN, 0.1)
        (stop,) = planner.take_immediate_orders()
        self.assertIsInstance(stop, StopOrder)
        planner.handle_order_outcome(stop, OrderOutcome.DONE, 0.2)
        self.assertEqual([], plan_and_take_starts(planner, 0.2))
        planner.handle_report(report("w1"), 0.3)
        planner.handle_report(report("w2"), 0.3)
        self.assertEqual([], plan_and_take_starts(planner, 0.3))
        planner.handle_report(report(start.worker.id), 1.2)
        planner.handle_report(report("w1"), 1.3)
        planner.handle_report(report("w2"), 1.3)
        self.assertEqual(2, plan_and_take_starts(planner, 1.3)[0].run)

    def test_confirmed_stop_does_not_end_a_run_that_is_reported(self) -> None:
        """Guards against a second run beside one that is still stopping."""
        planner = planner_with_workers("w1")
        planner.admit(workflow_spec(ONE_TASK), False)
        (start,) = plan_and_take_starts(planner)
        planner.handle_order_outcome(start, OrderOutcome.UNKNOWN, 0.1)
        (stop,) = planner.take_immediate_orders()
        planner.handle_order_outcome(stop, OrderOutcome.DONE, 0.2)
        for now in (0.3, 0.4, 0.5):
            planner.handle_report(report("w1", [running(start)]), now)
            self.assertEqual([], plan_and_take_starts(planner, now))
        ended = EndedRun(1, start.ref, start.run, RunEnd.STOPPED, "")
        planner.handle_report(report("w1", [], [ended]), 2.0)
        self.assertEqual(2, plan_and_take_starts(planner, 2.0)[0].run)

    def test_truncated_ends_do_not_rule_out_an_unanswered_start(self) -> None:
        """Guards against a second run of a task whose end is not listed yet.

        A worker lists a limited number of ends at a time.
        """
        planner = planner_with_workers("w1")
        planner.admit(workflow_spec(ONE_TASK), False)
        (start,) = plan_and_take_starts(planner)
        planner.handle_order_outcome(start, OrderOutcome.UNKNOWN, 0.1)
        (stop,) = planner.take_immediate_orders()
        planner.handle_order_outcome(stop, OrderOutcome.DONE, 0.2)
        for now in (0.3, 0.4, 0.5):
            planner.handle_report(report("w1", ends_truncated=True), now)
        self.assertEqual([], plan_and_take_starts(planner, 2.0))
        end = EndedRun(501, start.ref, start.run, RunEnd.DONE, "")
        planner.handle_report(report("w1", [], [end]), 2.0)
        self.assertEqual([], plan_and_take_starts(planner, 2.0))
        self.assertEqual(WorkflowState.DONE, planner.state(start.ref.workflow))

    def test_refused_start_is_placed_again(self) -> None:
        """Guards against a task that is forgotten after a refusal."""
        planner = planner_with_workers("w1", "w2")
        planner.admit(workflow_spec(ONE_TASK), False)
        (start,) = plan_and_take_starts(planner)
        planner.handle_order_outcome(start, OrderOutcome.UNHEALTHY, 0.1)
        (again,) = plan_and_take_starts(planner, 0.1)
        self.assertNotEqual(start.worker, again.worker)

    def test_unexpected_run_is_stopped(self) -> None:
        """Guards against a run that a late order starts after its loss."""
        planner = planner_with_workers("w1")
        planner.admit(workflow_spec(ONE_TASK), False)
        (start,) = plan_and_take_starts(planner)
        planner.handle_order_outcome(start, OrderOutcome.EXPIRED, 0.1)
        planner.handle_report(report("w1", [running(start)]), 0.2)
        (stop,) = planner.take_immediate_orders()
        self.assertEqual((start.ref, start.run), (stop.ref, stop.run))

    def test_unexpected_run_uses_capacity_until_it_is_gone(self) -> None:
        """Guards against overcommitting a worker that checks no capacity."""
        planner = planner_with_workers("w1")
        step = StepSpec(2, cpu_millis=3000, memory_mb=10)
        planner.admit(workflow_spec(step), False)
        (start,) = plan_and_take_starts(planner)
        planner.handle_order_outcome(start, OrderOutcome.EXPIRED, 0.1)
        reported_runs = [running(start)]
        planner.handle_report(report("w1", reported_runs), 1.5)
        self.assertEqual([], plan_and_take_starts(planner, 1.5))
        planner.handle_report(report("w1"), 2.0)
        self.assertEqual(1, len(plan_and_take_starts(planner, 2.0)))
