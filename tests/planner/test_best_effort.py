"""Tests of best-effort tasks that share workers with serving tasks."""

from __future__ import annotations

from dataclasses import replace

from testtools import TestCase

from carawaystep.fleet.order import PaceOrder
from carawaystep.fleet.order import StopOrder
from carawaystep.fleet.worker_report import EndedRun
from carawaystep.workflow.run_end import RunEnd
from tests.planner.planners import BEST_EFFORT
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import planner_with_workers
from tests.planner.planners import report
from tests.planner.planners import running
from tests.planner.planners import SERVING
from tests.workflow.workflows import workflow_spec


class SharingTest(TestCase):
    """Best-effort tasks beside serving tasks."""

    def setUp(self) -> None:
        """Run a serving and a best-effort task on the only worker."""
        super().setUp()
        self.planner = planner_with_workers("w1")
        self.planner.admit(workflow_spec(SERVING, id="a" * 16), False)
        (self.serving,) = plan_and_take_starts(self.planner)
        self.planner.admit(workflow_spec(BEST_EFFORT, id="b" * 16), False)
        (self.best_effort,) = plan_and_take_starts(self.planner)

    def _report(
        self, now: float, tail_ms: float, progress_percent: float = 10.0
    ) -> None:
        reported_runs = [
            running(self.serving, 100.0, tail_ms),
            running(self.best_effort, progress_percent),
        ]
        self.planner.handle_report(report("w1", reported_runs), now)

    def test_harmful_image_is_moved_away(self) -> None:
        """Guards against a tail that stays over its target."""
        self._report(1.0, 50.0)
        self._report(2.0, 900.0)
        (order,) = self.planner.take_immediate_orders()
        self.assertIsInstance(order, StopOrder)
        self.assertEqual(self.best_effort.ref, order.ref)

    def test_workflow_without_runs_is_placed_despite_harm(
        self,
    ) -> None:
        """Guards against waiting forever for a worker without harm."""
        self._report(1.0, 50.0)
        self._report(2.0, 900.0)
        ended = EndedRun(1, self.best_effort.ref, 1, RunEnd.STOPPED, "")
        reported_runs = [running(self.serving, 100.0, 50.0)]
        self.planner.handle_report(report("w1", reported_runs, [ended]), 2.2)
        self.assertEqual([], plan_and_take_starts(self.planner, 2.2))
        self.planner.handle_report(report("w1", reported_runs), 4.0)
        self.assertEqual(1, len(plan_and_take_starts(self.planner, 4.0)))

    def test_uncertain_images_are_placed_one_at_a_time(self) -> None:
        """Guards against harm that is attributed to the wrong image."""
        other = replace(BEST_EFFORT, image="other")
        self.planner.admit(workflow_spec(other, id="c" * 16), False)
        self._report(0.5, 50.0)
        self.assertEqual([], plan_and_take_starts(self.planner, 0.5))
        self._report(2.0, 50.0)
        self.assertEqual(1, len(plan_and_take_starts(self.planner, 2.0)))

    def test_slowed_task_leaves_its_cpu_to_others(self) -> None:
        """Guards against slowed tasks that block others from placement."""
        worker = next(iter(self.planner.workers.values()))
        before = worker.estimated_spare_cpu_millis
        worker.set_pace(self.best_effort.ref, 10, 1.0)
        self.assertEqual(before + 900, worker.estimated_spare_cpu_millis)

    def test_worker_with_a_harmed_task_gets_no_best_effort_tasks(self) -> None:
        """Guards against new best-effort tasks that prolong the harm."""
        self._report(1.0, 120.0)
        self.planner.admit(workflow_spec(BEST_EFFORT, id="c" * 16), False)
        self.assertEqual([], plan_and_take_starts(self.planner, 1.0))
        self._report(2.0, 50.0)
        self.assertEqual([], plan_and_take_starts(self.planner, 2.0))
        self._report(2.8, 50.0)
        self.assertEqual(1, len(plan_and_take_starts(self.planner, 2.8)))

    def test_lasting_harm_halts_all_best_effort_tasks(self) -> None:
        """Guards against harm that lasts longer than allowed."""
        for now in (1.0, 1.9, 2.8, 3.1):
            self._report(now, 900.0, progress_percent=80.0)
        orders = self.planner.take_immediate_orders()
        self.assertEqual(
            0,
            [o for o in orders if isinstance(o, PaceOrder)][-1].pace_percent,
        )
