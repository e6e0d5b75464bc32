"""Tests of the number of queued workflows."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.fleet.worker_report import EndedRun
from carawaystep.workflow.run_end import RunEnd
from tests.planner.planners import new_planner
from tests.planner.planners import ONE_TASK
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import planner_with_workers
from tests.planner.planners import report
from tests.planner.planners import running
from tests.workflow.workflows import workflow_spec

_SPEC = workflow_spec(ONE_TASK)


class QueueCountsTest(TestCase):
    """Workflows of which no task has begun."""

    def setUp(self) -> None:
        """Admit a workflow and place its task."""
        super().setUp()
        self.planner = planner_with_workers("w1")
        self.planner.admit(_SPEC, False)
        (self.start,) = plan_and_take_starts(self.planner)

    def test_placed_workflow_is_queued_until_a_run_is_reported(self) -> None:
        """Guards against a count without starts that are not executed."""
        self.assertEqual({_SPEC.queue: 1}, self.planner.count_queued())
        self.planner.handle_report(report("w1", [running(self.start)]), 0.1)
        self.assertEqual({}, self.planner.count_queued())

    def test_unanswered_start_leaves_its_workflow_queued(self) -> None:
        """Guards against a count without workflows whose starts are lost."""
        self.planner.handle_order_outcome(
            self.start, OrderOutcome.UNKNOWN, 1.5
        )
        self.planner.handle_report(report("w1"), 1.6)
        self.assertEqual({_SPEC.queue: 1}, self.planner.count_queued())

    def test_ended_run_ends_the_wait(self) -> None:
        """Guards against counting a workflow whose short run was not seen."""
        failed = EndedRun(1, self.start.ref, self.start.run, RunEnd.FAILED, "")
        self.planner.handle_report(report("w1", [], [failed]), 0.1)
        self.assertEqual({}, self.planner.count_queued())
        self._assert_restored_count({})

    def test_new_term_counts_placements_that_were_not_reported(self) -> None:
        """Guards against a count that a change of the leader empties."""
        self._assert_restored_count({_SPEC.queue: 1})

    def _assert_restored_count(self, expected: dict[str, int]) -> None:
        record = self.planner.workflows[_SPEC.id].record()
        planner = new_planner(10.0)
        planner.restore(_SPEC, record)
        self.assertEqual(expected, planner.count_queued())
