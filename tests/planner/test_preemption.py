"""Tests of the choice of runs to stop."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from unittest.mock import patch

from testtools import TestCase

from carawaystep.fleet.tracked_run import TrackedRun
from carawaystep.fleet.tracked_worker import TrackedWorker
from carawaystep.planner import preemption
from carawaystep.workflow.step_spec import StepSpec
from carawaystep.workflow.task_ref import TaskRef
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow

if TYPE_CHECKING:
    from carawaystep.workflow.workflow import Workflow


def _random_step(random: Random, count: int) -> StepSpec:
    return StepSpec(
        count,
        cpu_millis=random.choice((500, 1000, 3000)),
        memory_mb=random.choice((100, 300, 600)),
        checkpointing=random.random() < 0.5,
        fills=random.random() < 0.5,
        long_running=random.random() < 0.2,
        max_per_worker=random.choice((0, 0, 2)),
    )


def _random_workers(random: Random) -> list[TrackedWorker]:
    workers = []
    for number in range(8):
        worker = TrackedWorker(worker_record(f"w{number}"))
        for index in range(random.randint(0, 5)):
            step = _random_step(random, 1)
            if worker.fits(step):
                run = TrackedRun(1, step, random.randint(0, 2), 0.0)
                run.stopping = random.random() < 0.2
                run.progress_percent = float(random.randint(0, 100))
                worker.add(TaskRef(f"{number:016x}", 0, 0, index), run)
        workers.append(worker)
    return workers


class SelectVictimsTest(TestCase):
    """Runs that are stopped in favour of more urgent tasks."""

    def test_workers_are_left_out_only_if_stops_gain_nothing_there(
        self,
    ) -> None:
        """Guards against a shortcut that changes which runs are stopped."""
        selections = 0
        for seed in range(1000):
            random = Random(seed)
            workers = _random_workers(random)
            urgent = workflow(
                _random_step(random, random.randint(1, 6)),
                id="f" * 16,
                priority=random.randint(0, 1),
            )
            ref = TaskRef(urgent.id, 0, 0, 0)
            chosen = preemption.select_victims(urgent, ref, workers)
            with patch.object(preemption, "_may_gain", return_value=True):
                reference = preemption.select_victims(urgent, ref, workers)
            self.assertEqual(reference, chosen, f"seed {seed}")
            selections += bool(chosen)
        self.assertGreater(selections, 50)

    def test_workers_without_less_urgent_runs_are_not_ranked(self) -> None:
        """Guards against a leader that is busy with workers that are full.

        Each waiting workflow would rank the runs of each worker in each
        pass, though nothing on them may be stopped.
        """
        step = StepSpec(4, cpu_millis=4000, memory_mb=10)
        workers = []
        for number in range(3):
            worker = TrackedWorker(worker_record(f"w{number}"))
            run = TrackedRun(1, step, 0, 0.0)
            worker.add(TaskRef("a" * 16, 0, 0, number), run)
            workers.append(worker)
        waiting: Workflow = workflow(step, id="f" * 16)
        with patch.object(
            TrackedWorker, "task_capacity_after", side_effect=AssertionError
        ):
            victims = preemption.select_victims(
                waiting, TaskRef(waiting.id, 0, 0, 0), workers
            )
        self.assertEqual([], victims)
