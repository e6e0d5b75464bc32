"""Tests of the CPU that is kept for started workflows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.fleet.worker_report import EndedRun
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.step_spec import StepSpec
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import planner_with_workers
from tests.planner.planners import report
from tests.planner.planners import running
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from carawaystep.fleet.order import StartOrder
    from carawaystep.planner.planner import Planner


class HeldForStartedWorkflowsTest(TestCase):
    """CPU that is kept for started workflows with large tasks."""

    def test_freed_cpu_is_held_for_a_larger_task(self) -> None:
        """Guards against a task that small ones keep from a place for good."""
        planner = planner_with_workers("w1", "w2")
        small = StepSpec(1, cpu_millis=2000, memory_mb=10, estimated_s=1.0)
        for number in range(2):
            planner.admit(
                workflow_spec(
                    small, id=f"{number:016x}", accepted_at_s=2000.0
                ),
                False,
            )
        first, second = plan_and_take_starts(planner)
        self.assertEqual(first.worker, second.worker)
        large = StepSpec(2, cpu_millis=3000, memory_mb=10, estimated_s=1.0)
        planner.admit(
            workflow_spec(large, id="a" * 16, accepted_at_s=2000.0), False
        )
        (large_start,) = plan_and_take_starts(planner)
        self.assertNotEqual(first.worker, large_start.worker)

        self._end_run(planner, 1, first, [second])
        planner.admit(
            workflow_spec(small, id="b" * 16, accepted_at_s=2000.0), False
        )
        self.assertEqual([], plan_and_take_starts(planner))

        self._end_run(planner, 2, second, [])
        (start,) = plan_and_take_starts(planner)
        self.assertEqual("a" * 16, start.ref.workflow)

    @staticmethod
    def _end_run(
        planner: Planner,
        number: int,
        ended: StartOrder,
        others: list[StartOrder],
    ) -> None:
        end = EndedRun(number, ended.ref, ended.run, RunEnd.DONE, "")
        planner.handle_report(
            report(ended.worker.id, [running(o) for o in others], [end]), 0.0
        )
