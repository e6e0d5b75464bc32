"""Tests of the planner's cancellation of workflows and their runs."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.fleet.order import StopOrder
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.fleet.worker_report import EndedRun
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.workflow_state import WorkflowState
from tests.planner.planners import new_planner
from tests.planner.planners import ONE_TASK
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import planner_with_workers
from tests.planner.planners import report
from tests.planner.planners import running
from tests.workflow.workflows import workflow_spec


class PlannerCancellationTest(TestCase):
    """Stops, ends and late submissions of cancelled workflows."""

    def test_cancellation_stops_runs_and_settles_after_their_ends(
        self,
    ) -> None:
        """Guards against runs that outlive their workflow."""
        planner = planner_with_workers("w1")
        spec = workflow_spec(ONE_TASK)
        planner.admit(spec, False)
        (start,) = plan_and_take_starts(planner)
        planner.handle_report(report("w1", [running(start)]), 0.1)
        self.assertTrue(planner.cancel(spec.id))
        self.assertFalse(planner.should_send(start, 0.1))
        self.assertIsInstance(planner.take_immediate_orders()[0], StopOrder)
        self.assertEqual({}, planner.take_changes().settled)
        ended = EndedRun(1, start.ref, start.run, RunEnd.STOPPED, "")
        planner.handle_report(report("w1", [], [ended]), 0.3)
        changes = planner.take_changes()
        self.assertEqual({spec.id: WorkflowState.CANCELLED}, changes.settled)
        self.assertEqual({start.worker: 1}, changes.acknowledged)

    def test_start_held_back_after_a_cancellation_uses_no_capacity(
        self,
    ) -> None:
        """Guards against a run that is stopped for the rest of the term.

        The worker never had the run, so it reports no end of it.
        """
        planner = planner_with_workers("w1")
        spec = workflow_spec(ONE_TASK)
        planner.admit(spec, False)
        (start,) = plan_and_take_starts(planner)
        planner.cancel(spec.id)
        self.assertFalse(planner.should_send(start, 0.1))
        planner.withdraw_start(start)
        self.assertEqual(
            {spec.id: WorkflowState.CANCELLED}, planner.take_changes().settled
        )
        (worker,) = planner.workers.values()
        self.assertEqual({}, worker.runs)

    def test_unknown_workflow_is_not_cancelled(self) -> None:
        """Guards against confirming a cancellation without a workflow."""
        self.assertFalse(new_planner().cancel("0" * 16))

    def test_cancellation_read_before_its_submission_takes_effect(
        self,
    ) -> None:
        """Guards against starts of a workflow cancelled before it was known.

        The leader reads submissions and cancellations by separate feeds.
        """
        planner = planner_with_workers("w1")
        spec = workflow_spec(ONE_TASK)
        planner.apply_stored_cancellation(spec.id)
        planner.admit(spec, stored=True)
        planner.plan(0.0, 2000.0)
        changes = planner.take_changes()
        self.assertEqual([], changes.orders)
        self.assertEqual({spec.id: WorkflowState.CANCELLED}, changes.settled)
        self.assertEqual({spec.id: WorkflowState.CANCELLED}, changes.states)

    def test_stop_is_repeated_on_a_worker_that_is_not_listed(self) -> None:
        """Guards against a run that outlives its workflow's cancellation.

        A worker may be missing in the list while it works, and as long as it
        reports, its lease is extended.
        """
        planner = planner_with_workers("w1")
        spec = workflow_spec(ONE_TASK)
        planner.admit(spec, False)
        (start,) = plan_and_take_starts(planner)
        planner.handle_report(report("w1", [running(start)]), 0.1)
        planner.update_worker_list([], 0.0)
        planner.cancel(spec.id)
        (stop,) = planner.take_immediate_orders()
        planner.handle_order_outcome(stop, OrderOutcome.NOT_SENT, 0.2)
        planner.handle_report(report("w1", [running(start)]), 0.3)
        planner.retry_stops()
        self.assertEqual([stop], planner.take_immediate_orders())
