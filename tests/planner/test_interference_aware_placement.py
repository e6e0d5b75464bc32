"""Tests of the choice of workers for best-effort tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.fleet.tracked_run import TrackedRun
from carawaystep.fleet.tracked_worker import TrackedWorker
from carawaystep.planner.interference_aware_placement import (
    InterferenceAwarePlacement,
)
from carawaystep.planner.interference_model import InterferenceModel
from carawaystep.workflow.step_spec import StepSpec
from carawaystep.workflow.task_ref import TaskRef
from tests.planner.planners import worker_record

if TYPE_CHECKING:
    from carawaystep.planner.task_placement_policy import Rank

_BEST_EFFORT = StepSpec(1, cpu_millis=1000, memory_mb=10, fills=True)


class ForcedPlacementTest(TestCase):
    """Best-effort tasks that have waited too long, on a busy worker."""

    def setUp(self) -> None:
        """Create a worker of 4 cores without idle CPU."""
        super().setUp()
        self.placement = InterferenceAwarePlacement(InterferenceModel())
        self.worker = TrackedWorker(worker_record("w1"))

    def test_no_task_is_forced_where_reserved_cpu_leaves_none(self) -> None:
        """Guards against forced tasks that slow all others and hardly run."""
        serving = StepSpec(1, cpu_millis=4000, memory_mb=10, tail_target_ms=9)
        self._add(serving)
        self.assertIsNotNone(self._forced_rank())
        self._add(_BEST_EFFORT)
        self.assertIsNone(self._forced_rank())

    def test_best_effort_tasks_share_unreserved_cpu(self) -> None:
        """Guards against waiting forever behind other best-effort tasks."""
        for _ in range(4):
            self._add(_BEST_EFFORT)
        self.assertEqual(0, self.worker.estimated_spare_cpu_millis)
        self.assertIsNotNone(self._forced_rank())

    def _add(self, step: StepSpec) -> None:
        number = len(self.worker.runs)
        run = TrackedRun(1, step, priority=0, placed_at=0.0)
        self.worker.add(TaskRef("a" * 16, 0, 0, number), run)

    def _forced_rank(self) -> Rank | None:
        return self.placement.rank_despite_harm(_BEST_EFFORT, self.worker)
