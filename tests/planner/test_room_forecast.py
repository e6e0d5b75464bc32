"""Tests of the forecast of room for further submissions."""

from __future__ import annotations

from dataclasses import replace
from unittest.mock import patch

from testtools import TestCase

from carawaystep.fleet.tracked_run import TrackedRun
from carawaystep.fleet.tracked_worker import TrackedWorker
from carawaystep.planner.refusal import find_refusal
from carawaystep.planner.room_forecast import LaneForecast
from carawaystep.planner.room_forecaster import RoomForecaster
from carawaystep.planner.run_time_ratios import RunTimeRatios
from carawaystep.planner.workflow_registry import WorkflowRegistry
from carawaystep.workflow.step_spec import StepSpec
from carawaystep.workflow.task_ref import TaskRef
from tests.planner.planners import SERVING
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec

_WALL_NOW = 1000.0
# Of use for 3 x (0.25 s + 1.5 x 1 s) = 5.25 s after its acceptance.
_STEP = StepSpec(4, cpu_millis=1000, memory_mb=1, estimated_s=1.0)
_USEFUL_S = 5.25


class RoomForecastTest(TestCase):
    """Forecast for one worker of 4 cores."""

    def setUp(self) -> None:
        """Create an idle worker, and runs that took the declared time."""
        super().setUp()
        self.worker = TrackedWorker(worker_record("w1", cpu_millis=4000))
        self.registry = WorkflowRegistry()
        self.run_times = RunTimeRatios()
        for _ in range(8):
            self.run_times.record("bookings", 1.0, 1.0)

    def _admit(
        self, count: int, step: StepSpec = _STEP, **changes: object
    ) -> None:
        for _ in range(count):
            number = len(self.registry.workflows)
            spec = workflow_spec(step, id=f"{number:016x}", **changes)
            self.registry.add(spec)

    def _lanes(self, wall_now: float = _WALL_NOW) -> tuple[LaneForecast, ...]:
        forecaster = RoomForecaster(self.registry, self.run_times)
        return forecaster.forecast([self.worker], 0.0, wall_now).lanes

    def test_no_room_before_the_last_waiting_task_can_start(self) -> None:
        """Guards against a missed overload, and against a false one.

        Each workflow takes the worker for a second.
        """
        self._admit(1)
        self.assertEqual((), self._lanes())
        self._admit(4)
        lane = LaneForecast("desk", 1, False, 4.0, 1000)
        self.assertEqual((lane,), self._lanes())

    def test_only_started_work_goes_before_new_work_of_its_priority(
        self,
    ) -> None:
        """Guards against refusing what the order would place first.

        A waiting workflow is late before a new one of the same priority is.
        """
        step = replace(_STEP, count=30)
        self._admit(1, step)
        self.assertEqual([1], [lane.priority for lane in self._lanes()])
        (workflow,) = self.registry
        workflow.place(TaskRef(workflow.id, 0, 0, 0), self.worker.key)
        self.assertEqual([0, 1], [lane.priority for lane in self._lanes()])

    def test_work_for_which_there_is_no_time_gives_way(self) -> None:
        """Guards against counting work that newer work will pass."""
        long = replace(_STEP, estimated_s=3.0)
        self._admit(1, long, accepted_at_s=_WALL_NOW - 60.0)
        self._admit(50)
        self._admit(3, accepted_at_s=_WALL_NOW + 20.0)
        for wall_now, expected_s in (
            (_WALL_NOW, _USEFUL_S - 1.0),
            (_WALL_NOW + 20.0, 2.0),
        ):
            (lane,) = self._lanes(wall_now)
            self.assertEqual(expected_s, lane.room_from_s)
        self.assertEqual((), self._lanes(_WALL_NOW + 20.0 + _USEFUL_S))

    def test_only_what_is_certain_counts(self) -> None:
        """Guards against a refusal on doubt.

        Tasks bound to certain workers, later steps, tickets, due times and
        lower priorities prove nothing about the room.
        """
        for changes in (
            {"label": "a"},
            {"max_per_worker": 1},
            {"gang": True},
            {"estimated_s": 0.0},
        ):
            step = replace(_STEP, **changes)  # type: ignore[arg-type]
            self._admit(50, step)
        self._admit(50, permit_s=1.0)
        self._admit(50, first_due_s=_WALL_NOW - 1.0)
        self._admit(50, queue="never-run")
        self.assertEqual((), self._lanes())
        self._admit(50, priority=2)
        self.assertEqual([3], [lane.priority for lane in self._lanes()])

    def test_long_run_does_not_keep_the_rest_of_the_cpu(self) -> None:
        """Guards against a refusal while one core is busy for long.

        Three cores are left, on which the last waiting task starts at 3 s.
        """
        step = replace(_STEP, estimated_s=100.0, count=1)
        self._admit(1, step)
        (workflow,) = self.registry
        ref = TaskRef(workflow.id, 0, 0, 0)
        workflow.place(ref, self.worker.key)
        self.worker.add(ref, TrackedRun(1, step, 1, 0.0))
        self._admit(10, replace(_STEP, count=1), priority=0)
        (lane,) = self._lanes()
        self.assertGreater(lane.room_from_s, 0.0)
        self.assertLessEqual(lane.room_from_s, 3.0)

    def test_small_task_is_not_refused_behind_larger_ones(self) -> None:
        """Guards against a refusal while a gap is left.

        Three cores are idle, which the tasks of four cores cannot use.
        """
        step = replace(_STEP, estimated_s=100.0, count=1)
        self._admit(1, step)
        (workflow,) = self.registry
        ref = TaskRef(workflow.id, 0, 0, 0)
        workflow.place(ref, self.worker.key)
        self.worker.add(ref, TrackedRun(1, step, 1, 0.0))
        self._admit(1, replace(_STEP, count=1))
        self._admit(50, replace(_STEP, count=1, cpu_millis=4000))
        forecaster = RoomForecaster(self.registry, self.run_times)
        forecast = forecaster.forecast([self.worker], 0.0, _WALL_NOW)
        for cpu_millis, refused in ((1000, False), (4000, True)):
            step = replace(_STEP, cpu_millis=cpu_millis)
            spec = workflow_spec(step, priority=1)
            refusal = find_refusal(spec, forecast, 0.0, waited_s=4.0)
            self.assertEqual(refused, refusal is not None)

    def test_work_of_short_use_may_give_way_from_the_start(self) -> None:
        """Guards against a refusal that holds for one order of work only.

        The work of longer use takes 8 s. If it goes first, the rest is of no
        more use before it can start.
        """
        self._admit(50)
        registry = self.registry
        for _ in range(8):
            spec = workflow_spec(
                _STEP,
                replace(_STEP, estimated_s=10.0, after=(0,)),
                id=f"{len(registry.workflows):016x}",
            )
            registry.add(spec)
        (lane,) = self._lanes()
        self.assertLessEqual(lane.room_from_s, 8.0)

    def test_long_running_tasks_take_room_that_is_not_preempted(self) -> None:
        """Guards against room that lasting tasks of a lower rank hold."""
        self._admit(2)
        for priority, expected in ((2, 1.0), (1, 3.0)):
            ref = TaskRef("f" * 16, 0, 0, priority)
            serving = replace(SERVING, cpu_millis=2000)
            self.worker.add(ref, TrackedRun(1, serving, priority, 0.0))
            (lane,) = self._lanes()
            self.assertEqual(expected, lane.room_from_s, priority)

    def test_only_runs_that_exist_take_room(self) -> None:
        """Guards against refusals for runs that may have been lost."""
        self._admit(4)
        workflow = next(iter(self.registry))
        step = replace(_STEP, cpu_millis=4000)
        run = TrackedRun(1, step, 0, 0.0, progress_percent=50.0)
        self.worker.add(TaskRef(workflow.id, 0, 0, 9), run)
        self.assertEqual([3.5], [lane.room_from_s for lane in self._lanes()])
        for field in ("inherited", "in_doubt", "stopping"):
            with patch.object(run, field, True):
                (lane,) = self._lanes()
            self.assertEqual(3.0, lane.room_from_s, field)

    def test_shorter_runs_shorten_the_forecast(self) -> None:
        """Guards against trust in declared run times."""
        self._admit(5)
        for _ in range(20):
            self.run_times.record("bookings", 1.0, 0.5)
        self.assertEqual([2.0], [lane.room_from_s for lane in self._lanes()])

    def test_silent_worker_still_counts(self) -> None:
        """Guards against refusals because reports are late."""
        self.assertFalse(self.worker.usable(100.0))
        self._admit(5)
        self.assertEqual([4.0], [lane.room_from_s for lane in self._lanes()])
