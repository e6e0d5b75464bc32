"""Tests of the placement of long-running tasks."""

from __future__ import annotations

from dataclasses import replace

from testtools import TestCase

from carawaystep.fleet.worker_report import EndedRun
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.step_spec import StepSpec
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import planner_with_workers
from tests.planner.planners import report
from tests.planner.planners import running
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec


class LongRunningTaskTest(TestCase):
    """Order and workers of interrupted, failed and new tasks."""

    def test_interrupted_task_goes_before_newer_work_of_its_priority(
        self,
    ) -> None:
        """Guards against a standing task that newer bookings keep away.

        A long-running workflow has no deadline that it could miss, so its
        age must not put it behind the work that can still be on time.
        """
        planner = planner_with_workers("w1")
        standing = StepSpec(
            1, cpu_millis=3000, memory_mb=10, long_running=True
        )
        planner.admit(workflow_spec(standing, id="a" * 16), False)
        (start,) = plan_and_take_starts(planner)
        booking = StepSpec(1, cpu_millis=3000, memory_mb=10)
        planner.admit(
            workflow_spec(booking, id="b" * 16, accepted_at_s=2000.0), False
        )
        ended = EndedRun(1, start.ref, start.run, RunEnd.STOPPED, "")
        planner.handle_report(report("w1", [], [ended]), 0.5)
        self.assertEqual(
            [start.ref],
            [order.ref for order in plan_and_take_starts(planner, 0.5)],
        )

    def test_failed_long_running_task_may_return_if_no_other_worker_fits(
        self,
    ) -> None:
        """Guards against a standing task that waits beside its own room.

        Its failures are not limited, so that no attempt is lost there.
        """
        planner = planner_with_workers("w1", "w2")
        planner.admit(
            workflow_spec(StepSpec(2, cpu_millis=3000), id="b" * 16), False
        )
        planner.update_worker_list(
            [worker_record(name) for name in ("w1", "w2", "w3")], 0.0
        )
        plan_and_take_starts(planner)
        planner.handle_report(report("w3"), 0.1)
        standing = StepSpec(
            1, cpu_millis=3000, memory_mb=10, long_running=True
        )
        planner.admit(workflow_spec(standing, id="a" * 16), False)
        (start,) = plan_and_take_starts(planner, 0.1)
        ended = EndedRun(1, start.ref, start.run, RunEnd.FAILED, "")
        planner.handle_report(report("w3", [], [ended]), 0.5)
        (again,) = plan_and_take_starts(planner, 0.5)
        self.assertEqual((start.ref, start.worker), (again.ref, again.worker))

    def test_failed_long_running_task_prefers_another_worker(self) -> None:
        """Guards against standing tasks that stay on a faulty worker."""
        planner = planner_with_workers("w1", "w2")
        standing = StepSpec(
            1, cpu_millis=3000, memory_mb=10, long_running=True
        )
        planner.admit(workflow_spec(standing), False)
        (start,) = plan_and_take_starts(planner)
        ended = EndedRun(1, start.ref, start.run, RunEnd.FAILED, "")
        planner.handle_report(report(start.worker.id, [], [ended]), 0.5)
        (again,) = plan_and_take_starts(planner, 0.5)
        self.assertNotEqual(start.worker, again.worker)

    def test_failures_of_tasks_that_were_at_work_suspend_no_worker(
        self,
    ) -> None:
        """Guards against standing tasks that are kept from a sound worker."""
        planner = planner_with_workers("w1")
        standing = StepSpec(
            1, cpu_millis=1000, memory_mb=10, long_running=True
        )
        for workflow_id in ("a" * 16, "b" * 16):
            planner.admit(workflow_spec(standing, id=workflow_id), False)
        starts = plan_and_take_starts(planner)
        for now in (1.0, 4.5):
            runs = [running(start, 100.0) for start in starts]
            planner.handle_report(report("w1", runs), now)
        ends = [
            EndedRun(number, start.ref, start.run, RunEnd.FAILED, "")
            for number, start in enumerate(starts, 1)
        ]
        planner.handle_report(report("w1", [], ends), 5.0)
        self.assertEqual(2, len(plan_and_take_starts(planner, 5.0)))

    def test_new_long_running_task_waits_behind_work_that_can_be_on_time(
        self,
    ) -> None:
        """Guards against new standing work that displaces bookings."""
        planner = planner_with_workers("w1")
        step = StepSpec(1, cpu_millis=3000, memory_mb=10)
        standing = replace(step, long_running=True)
        planner.admit(workflow_spec(standing, id="a" * 16), False)
        planner.admit(
            workflow_spec(step, id="b" * 16, accepted_at_s=2000.0), False
        )
        (start,) = plan_and_take_starts(planner)
        self.assertEqual("b" * 16, start.ref.workflow)

    def test_long_running_task_waits_for_more_urgent_priorities(self) -> None:
        """Guards against standing tasks that displace urgent work."""
        planner = planner_with_workers("w1")
        step = StepSpec(1, cpu_millis=3000, memory_mb=10)
        standing = replace(step, long_running=True)
        planner.admit(workflow_spec(standing, id="a" * 16, priority=1), False)
        planner.admit(workflow_spec(step, id="b" * 16), False)
        (start,) = plan_and_take_starts(planner)
        self.assertEqual("b" * 16, start.ref.workflow)


class LeavingWorkersTest(TestCase):
    """Long-running tasks on leaving workers."""

    def test_long_running_task_moves_before_its_worker_leaves(self) -> None:
        """Guards against a long-running task that ends with its worker."""
        step = StepSpec(1, cpu_millis=10, memory_mb=1, long_running=True)
        planner = planner_with_workers("w1")
        planner.admit(workflow_spec(step), False)
        (start,) = plan_and_take_starts(planner)
        planner.update_worker_list([worker_record("w1", draining=True)], 0.0)
        planner.clear_leaving_workers(0.1)
        self.assertEqual([], planner.take_immediate_orders())
        planner.update_worker_list(
            [worker_record("w1", draining=True), worker_record("w2")], 0.0
        )
        planner.handle_report(report("w2"), 0.2)
        planner.clear_leaving_workers(0.2)
        (stop,) = planner.take_immediate_orders()
        self.assertEqual(start.ref, stop.ref)
