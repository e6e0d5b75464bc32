"""Tests of what is learned of pairs of images."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.fleet.tracked_run import TrackedRun
from carawaystep.fleet.tracked_worker import TrackedWorker
from carawaystep.planner.interference_model import InterferenceModel
from carawaystep.workflow.step_spec import StepSpec
from carawaystep.workflow.task_ref import TaskRef
from tests.planner.planners import offer


def _run(image: str, fills: bool, tail: float = 0.0) -> TrackedRun:
    step = StepSpec(
        1, image=image, fills=fills, tail_target_ms=0.0 if fills else 100.0
    )
    return TrackedRun(
        1, step, 0, 0.0, progress_percent=100.0, tail_ms_or_cpu_millis=tail
    )


def _worker(tail: float, *filling: str) -> TrackedWorker:
    worker = TrackedWorker(offer("w1"))
    worker.add(TaskRef("s", 0, 0, 0), _run("serving", False, tail))
    for number, image in enumerate(filling):
        worker.add(TaskRef("f", 0, 0, number), _run(image, True))
    return worker


def _watch(
    record: InterferenceModel, worker: TrackedWorker, since: float
) -> None:
    for step in range(6):
        record.observe(worker, since + 2 * step)


class InterferenceModelTest(TestCase):
    """Blame and relief."""

    def test_single_image_beside_a_harmed_task_is_harmful(self) -> None:
        """Guards against placing a harmful pair again."""
        record = InterferenceModel()
        _watch(record, _worker(300.0, "f1"), 1.0)
        self.assertTrue(record.likely_harms("f1", _worker(50.0)))

    def test_harmless_image_stays_so_beside_a_harmful_one(self) -> None:
        """Guards against blaming every image that happens to be there."""
        record = InterferenceModel()
        _watch(record, _worker(50.0, "harmless"), 1.0)
        record.observe(_worker(300.0, "harmless", "harmful"), 13.0)
        self.assertTrue(record.likely_harms("harmful", _worker(50.0)))
        self.assertFalse(record.likely_harms("harmless", _worker(50.0)))

    def test_the_image_that_arrived_last_is_blamed(self) -> None:
        """Guards against blaming an image that was there without harm."""
        record = InterferenceModel()
        record.observe(_worker(50.0, "earlier"), 1.0)
        record.observe(_worker(50.0, "earlier"), 3.0)
        record.observe(_worker(900.0, "earlier", "later"), 3.6)
        self.assertTrue(record.likely_harms("later", _worker(50.0)))
        self.assertFalse(record.likely_harms("earlier", _worker(50.0)))

    def test_two_that_arrived_together_stay_in_question(self) -> None:
        """Guards against excluding an image because of its companion."""
        record = InterferenceModel()
        _watch(record, _worker(900.0, "one", "two"), 1.0)
        self.assertFalse(record.likely_harms("one", _worker(50.0)))
        self.assertFalse(record.likely_harms("two", _worker(50.0)))

    def test_small_excess_is_not_blamed(self) -> None:
        """Guards against blame for the serving task's own load."""
        record = InterferenceModel()
        _watch(record, _worker(120.0, "f1"), 1.0)
        self.assertFalse(record.likely_harms("f1", _worker(50.0)))

    def test_long_relief_can_still_be_overturned(self) -> None:
        """Guards against a probability of 0, which divides by zero."""
        record = InterferenceModel()
        worker = _worker(50.0, "f1")
        for step in range(2000):
            record.observe(worker, 1.0 + step)
        _watch(record, _worker(300.0, "f1"), 5000.0)
        self.assertTrue(record.likely_harms("f1", worker))

    def test_culprit_is_named_once_in_a_window(self) -> None:
        """Guards against blaming the next image for a tail that lags."""
        record = InterferenceModel()
        worker = _worker(300.0, "f1", "f2")
        record.observe(worker, 1.0)
        self.assertIsNotNone(record.likely_antagonist(worker, 1.0))
        self.assertIsNone(record.likely_antagonist(worker, 1.3))
