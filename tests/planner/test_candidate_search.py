"""Tests of the work that one placement pass takes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest.mock import patch

from testtools import TestCase

from carawaystep.planner.candidate_ranking import CandidateRanking
from carawaystep.planner.interference_aware_placement import (
    InterferenceAwarePlacement,
)
from carawaystep.planner.task_placer import MAX_STARTS_PER_PASS
from carawaystep.planner.unmet_needs import UnmetNeeds
from carawaystep.workflow.step_spec import StepSpec
from tests.planner.planners import BEST_EFFORT
from tests.planner.planners import new_planner
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import report
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.planner.planner import Planner
    from carawaystep.planner.task_placement_policy import Rank

_WORKERS = 100


def _full_planner(cpu_millis: int) -> Planner:
    """Return a planner with workers of that CPU, none of which has a run."""
    planner = new_planner()
    names = [f"w{number:03}" for number in range(_WORKERS)]
    records = [
        worker_record(name, cpu_millis, memory_mb=100_000) for name in names
    ]
    planner.update_worker_list(records, 0.0)
    for name in names:
        planner.handle_report(report(name), 0.0)
    return planner


class PassCostTest(TestCase):
    """How much one pass searches."""

    def test_each_worker_is_ranked_once_and_after_its_placements(self) -> None:
        """Guards against ranking all workers again for each task of a step.

        With hundreds of workers that kept the leader from its heartbeats.
        """
        for step in (StepSpec(30, cpu_millis=1000, memory_mb=1), BEST_EFFORT):
            planner = _full_planner(cpu_millis=4000)
            wide = StepSpec(30, cpu_millis=1000, memory_mb=1, fills=step.fills)
            planner.admit(workflow_spec(wide, id="a" * 16), stored=True)
            with patch.object(
                InterferenceAwarePlacement,
                "rank",
                autospec=True,
                side_effect=InterferenceAwarePlacement.rank,
            ) as rank:
                self.assertEqual(30, len(plan_and_take_starts(planner)))
            self.assertLessEqual(rank.call_count, _WORKERS + 30)

    def test_needs_that_no_worker_meets_are_searched_for_once(self) -> None:
        """Guards against a pass that costs more the more work waits."""
        planner = _full_planner(cpu_millis=1000)
        for number in range(20):
            step = StepSpec(2, cpu_millis=2000 + number, memory_mb=1)
            spec = workflow_spec(step, id=f"{number:016x}")
            planner.admit(spec, stored=True)
        with patch(
            "carawaystep.planner.candidate_search.suitable_workers",
            return_value=iter(()),
        ) as searched:
            plan_and_take_starts(planner)
        self.assertEqual(1, searched.call_count)

    def test_steps_of_other_images_look_only_where_there_is_room(self) -> None:
        """Guards against a search of all workers for each waiting image."""
        planner = _full_planner(cpu_millis=4000)
        for number in range(5):
            step = StepSpec(
                1,
                cpu_millis=7000 + number,
                memory_mb=1,
                fills=True,
                image=f"image-{number}",
            )
            spec = workflow_spec(step, id=f"{number:016x}")
            planner.admit(spec, stored=True)
        with patch(
            "carawaystep.planner.candidate_search.suitable_workers",
            return_value=iter(()),
        ) as searched:
            plan_and_take_starts(planner)
        self.assertEqual(1, searched.call_count)

    def test_a_pass_ends_after_a_number_of_starts(self) -> None:
        """Guards against a burst that keeps the leader from its heartbeats."""
        planner = _full_planner(cpu_millis=4000)
        count = MAX_STARTS_PER_PASS + 8
        step = StepSpec(count, cpu_millis=1000, memory_mb=1)
        planner.admit(workflow_spec(step, id="a" * 16), stored=True)
        self.assertTrue(planner.plan(0.0, 2000.0))
        self.assertEqual(
            MAX_STARTS_PER_PASS, len(planner.take_changes().orders)
        )
        self.assertFalse(planner.plan(0.0, 2000.0))
        self.assertEqual(8, len(planner.take_changes().orders))


class CandidateRankingTest(TestCase):
    """Order in which workers are taken."""

    def test_worker_is_ranked_again_after_a_placement(self) -> None:
        """Guards against tasks that pile up on the first choice."""
        planner = _full_planner(cpu_millis=4000)
        workers = list(planner.workers.values())[:3]
        ranks = {worker.key: float(n) for n, worker in enumerate(workers)}

        def rank(worker: TrackedWorker) -> Rank:
            return (ranks[worker.key],)

        ranking = CandidateRanking(workers, rank, rank)
        first = ranking.take(frozenset())
        self.assertIs(workers[0], first)
        ranks[workers[0].key] = 1.5
        ranking.put_back(workers[0])
        taken = [ranking.take(frozenset()) for _ in range(4)]
        self.assertEqual([workers[1], workers[0], workers[2], None], taken)

    def test_avoided_worker_stays_for_other_tasks(self) -> None:
        """Guards against losing a worker on which one task has failed."""
        planner = _full_planner(cpu_millis=4000)
        workers = list(planner.workers.values())[:2]
        ranking = CandidateRanking(workers, lambda _: (0.0,), lambda _: None)
        self.assertIs(workers[1], ranking.take({workers[0].key}))
        self.assertIs(workers[0], ranking.take(frozenset()))
        self.assertFalse(ranking)


class UnmetNeedsTest(TestCase):
    """Which steps a search in vain rules out."""

    def test_only_steps_that_need_at_least_as_much_are_ruled_out(self) -> None:
        """Guards against tasks that wait though a worker has room."""
        unmet = UnmetNeeds()
        unmet.add("desk", StepSpec(1, cpu_millis=2000, memory_mb=100))
        cases = [
            ("desk", 2000, 100, True),
            ("desk", 3000, 200, True),
            ("desk", 1999, 500, False),
            ("desk", 3000, 99, False),
            ("other", 3000, 200, False),
        ]
        for group, cpu_millis, memory_mb, expected in cases:
            step = StepSpec(1, cpu_millis=cpu_millis, memory_mb=memory_mb)
            self.assertEqual(expected, unmet.covers(group, step))
