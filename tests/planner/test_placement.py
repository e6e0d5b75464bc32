"""Tests of the planner's choice of workers."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.fleet.order import StopOrder
from carawaystep.fleet.worker_report import EndedRun
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.step_spec import StepSpec
from tests.planner.planners import new_planner
from tests.planner.planners import ONE_TASK
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import planner_with_workers
from tests.planner.planners import report
from tests.planner.planners import running
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec


class PlacementTest(TestCase):
    """Capacity, limits of steps and more urgent work."""

    def test_worker_is_not_overcommitted(self) -> None:
        """Guards against overcommitted CPU."""
        planner = planner_with_workers("w1")
        planner.admit(
            workflow_spec(StepSpec(9, cpu_millis=1000, memory_mb=1)), False
        )
        self.assertEqual(4, len(plan_and_take_starts(planner)))

    def test_memory_of_best_effort_tasks_counts(self) -> None:
        """Guards against best-effort tasks that overcommit memory."""
        planner = planner_with_workers("w1")
        step = StepSpec(9, cpu_millis=1, memory_mb=280, fills=True)
        planner.admit(workflow_spec(step), False)
        self.assertEqual(3, len(plan_and_take_starts(planner)))

    def test_draining_workers_and_workers_without_report_get_nothing(
        self,
    ) -> None:
        """Guards against starts on workers that drain or never reported."""
        planner = new_planner()
        planner.update_worker_list(
            [worker_record("w1"), worker_record("w2", draining=True)], 0.0
        )
        planner.handle_report(report("w2"), 0.0)
        planner.admit(workflow_spec(ONE_TASK), False)
        self.assertEqual([], plan_and_take_starts(planner))

    def test_limit_of_tasks_on_one_worker(self) -> None:
        """Guards against more tasks of a step on a worker than allowed."""
        planner = planner_with_workers("w1", "w2")
        step = StepSpec(4, cpu_millis=1, memory_mb=1, max_per_worker=1)
        planner.admit(workflow_spec(step), False)
        workers = [order.worker.id for order in plan_and_take_starts(planner)]
        self.assertEqual(["w1", "w2"], sorted(workers))

    def test_failed_task_is_tried_on_another_worker(self) -> None:
        """Guards against a faulty worker that uses up a task's attempts."""
        planner = planner_with_workers("w1", "w2")
        planner.admit(workflow_spec(ONE_TASK), False)
        (start,) = plan_and_take_starts(planner)
        ended = EndedRun(1, start.ref, start.run, RunEnd.FAILED, "")
        planner.handle_report(report(start.worker.id, [], [ended]), 0.5)
        self.assertNotEqual(
            start.worker, plan_and_take_starts(planner, 0.5)[0].worker
        )

    def test_a_worker_that_fails_several_workflows_is_suspended(self) -> None:
        """Guards against a faulty worker that uses up attempts.

        Each of several workflows would lose attempts to the same worker.
        """
        planner = planner_with_workers("w1")
        for number in range(2):
            planner.admit(workflow_spec(ONE_TASK, id=f"{number:016x}"), False)
        ends = [
            EndedRun(number, order.ref, order.run, RunEnd.FAILED, "")
            for number, order in enumerate(plan_and_take_starts(planner), 1)
        ]
        planner.handle_report(report("w1", [], ends), 0.5)
        self.assertEqual([], plan_and_take_starts(planner, 0.5))

    def test_urgent_work_preempts_less_urgent_work(self) -> None:
        """Guards against urgent work that waits for best-effort tasks."""
        planner = planner_with_workers("w1")
        low = StepSpec(4, cpu_millis=100, memory_mb=210, fills=True)
        planner.admit(workflow_spec(low, id="a" * 16, priority=2), False)
        low_starts = plan_and_take_starts(planner)
        self.assertEqual(4, len(low_starts))
        reported_runs = [running(order) for order in low_starts]
        planner.handle_report(report("w1", reported_runs), 0.1)
        high = StepSpec(1, cpu_millis=100, memory_mb=300)
        planner.admit(workflow_spec(high, id="b" * 16), False)
        self.assertEqual([], plan_and_take_starts(planner, 0.2))
        stops = planner.take_immediate_orders()
        self.assertEqual(1, len(stops))
        self.assertIsInstance(stops[0], StopOrder)
        plan_and_take_starts(planner, 0.25)
        self.assertEqual([], planner.take_immediate_orders())
