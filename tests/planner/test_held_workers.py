"""Tests of the room that is kept for long-running tasks."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.fleet.worker_report import EndedRun
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.step_spec import StepSpec
from tests.planner.planners import new_planner
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import report
from tests.planner.planners import running
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from carawaystep.fleet.order import StartOrder

_STANDING = StepSpec(1, cpu_millis=3000, memory_mb=10, long_running=True)
_BOOKING = StepSpec(1, cpu_millis=2000, memory_mb=10)


class HeldWorkersTest(TestCase):
    """A full worker, an interrupted standing task, and other work."""

    def test_smaller_work_does_not_keep_a_standing_task_away(self) -> None:
        """Guards against room that smaller tasks take piece by piece."""
        self._interrupt(_STANDING)
        self._admit("3", _BOOKING)
        self.assertEqual([], self._starts_after_an_end(0.4))
        self.assertEqual(["a" * 16], self._starts_after_an_end(0.5))

    def test_more_urgent_work_uses_a_held_worker(self) -> None:
        """Guards against standing tasks that keep urgent work away."""
        self._interrupt(_STANDING, priority=1)
        self._admit("3", _BOOKING)
        self.assertEqual(["3" * 16], self._starts_after_an_end(0.4))

    def test_a_hold_ends_with_its_workflow(self) -> None:
        """Guards against workers that stay held for nothing."""
        self._interrupt(_STANDING)
        self._admit("3", _BOOKING)
        self.assertEqual([], self._starts_after_an_end(0.4))
        self._planner.cancel("a" * 16)
        (start,) = plan_and_take_starts(self._planner, 0.5)
        self.assertEqual("3" * 16, start.ref.workflow)

    def test_a_task_that_fits_on_no_worker_holds_none(self) -> None:
        """Guards against a worker that idles for a task it cannot take."""
        self._interrupt(replace(_STANDING, memory_mb=500))
        self._planner.update_worker_list(
            [worker_record("w1", memory_mb=100)], 0.0
        )
        plan_and_take_starts(self._planner, 0.3)
        self._admit("3", _BOOKING)
        self.assertEqual(["3" * 16], self._starts_after_an_end(0.4))

    def test_a_task_without_earlier_runs_holds_no_worker(self) -> None:
        """Guards against bookings that wait for new standing work."""
        self._interrupt(_BOOKING)
        self._admit("b", _STANDING)
        self.assertEqual([], plan_and_take_starts(self._planner, 0.3))
        self._planner.cancel("a" * 16)
        self._admit("3", _BOOKING)
        self.assertEqual(["3" * 16], self._starts_after_an_end(0.4))

    def _interrupt(self, step: StepSpec, priority: int = 0) -> None:
        """Let a task run and fail, and fill its worker with two bookings."""
        self._planner = new_planner()
        self._planner.update_worker_list([worker_record("w1")], 0.0)
        self._planner.handle_report(report("w1"), 0.0)
        self._admit("a", step, priority)
        (start,) = plan_and_take_starts(self._planner)
        self._running: list[StartOrder] = []
        self._ends = 0
        self._planner.update_worker_list([worker_record("w1", 7000)], 0.0)
        self._admit("1", _BOOKING)
        self._admit("2", _BOOKING)
        self._running = plan_and_take_starts(self._planner, 0.1)
        self.assertEqual(2, len(self._running))
        self._planner.update_worker_list([worker_record("w1")], 0.0)
        self._report_end(start, RunEnd.FAILED, 0.2)
        self.assertEqual([], plan_and_take_starts(self._planner, 0.2))

    def _admit(self, digit: str, step: StepSpec, priority: int = 0) -> None:
        self._planner.admit(
            workflow_spec(step, id=digit * 16, priority=priority), False
        )

    def _report_end(self, order: StartOrder, end: RunEnd, now: float) -> None:
        self._ends += 1
        ended = EndedRun(self._ends, order.ref, order.run, end, "")
        reported = [running(other) for other in self._running]
        self._planner.handle_report(report("w1", reported, [ended]), now)

    def _starts_after_an_end(self, now: float) -> list[str]:
        """End the oldest booking; return the workflows of the next starts."""
        self._report_end(self._running.pop(0), RunEnd.DONE, now)
        return [
            start.ref.workflow
            for start in plan_and_take_starts(self._planner, now)
        ]
