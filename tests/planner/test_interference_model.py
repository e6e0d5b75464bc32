"""Tests of the learned interference between images."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.fleet.tracked_run import TrackedRun
from carawaystep.fleet.tracked_worker import TrackedWorker
from carawaystep.planner.interference_model import InterferenceModel
from carawaystep.workflow.step_spec import StepSpec
from carawaystep.workflow.task_ref import TaskRef
from tests.planner.planners import worker_record


def _run(image: str, fills: bool, tail_ms: float = 0.0) -> TrackedRun:
    step = StepSpec(
        1, image=image, fills=fills, tail_target_ms=0.0 if fills else 100.0
    )
    return TrackedRun(
        1, step, 0, 0.0, progress_percent=100.0, tail_ms_or_cpu_millis=tail_ms
    )


def _worker(tail_ms: float, *best_effort: str) -> TrackedWorker:
    worker = TrackedWorker(worker_record("w1"))
    worker.add(TaskRef("serving", 0, 0, 0), _run("serving", False, tail_ms))
    for number, image in enumerate(best_effort):
        worker.add(TaskRef("best-effort", 0, 0, number), _run(image, True))
    return worker


def _observe_repeatedly(
    model: InterferenceModel, worker: TrackedWorker, start_s: float
) -> None:
    for step in range(6):
        model.observe(worker, start_s + 2 * step)


class InterferenceModelTest(TestCase):
    """How evidence of harm and of no harm changes the probabilities."""

    def test_single_image_beside_a_harmed_task_is_harmful(self) -> None:
        """Guards against a harmful pair that is placed together again."""
        model = InterferenceModel()
        _observe_repeatedly(model, _worker(300.0, "best-effort-1"), 1.0)
        self.assertTrue(model.likely_harms("best-effort-1", _worker(50.0)))

    def test_harmless_image_stays_so_beside_a_harmful_one(self) -> None:
        """Guards against evidence of harm that counts against every image.

        One image was present before without harm, so that the harm is
        attributed to the image that has just started.
        """
        model = InterferenceModel()
        _observe_repeatedly(model, _worker(50.0, "harmless"), 1.0)
        model.observe(_worker(300.0, "harmless", "harmful"), 13.0)
        self.assertTrue(model.likely_harms("harmful", _worker(50.0)))
        self.assertFalse(model.likely_harms("harmless", _worker(50.0)))

    def test_image_that_started_last_counts_as_harmful(self) -> None:
        """Guards against blaming an image that ran before without harm."""
        model = InterferenceModel()
        model.observe(_worker(50.0, "earlier"), 1.0)
        model.observe(_worker(50.0, "earlier"), 3.0)
        model.observe(_worker(900.0, "earlier", "later"), 3.6)
        self.assertTrue(model.likely_harms("later", _worker(50.0)))
        self.assertFalse(model.likely_harms("earlier", _worker(50.0)))

    def test_images_that_started_together_stay_uncertain(self) -> None:
        """Guards against excluding an image for the harm of another one."""
        model = InterferenceModel()
        _observe_repeatedly(model, _worker(900.0, "one", "two"), 1.0)
        self.assertFalse(model.likely_harms("one", _worker(50.0)))
        self.assertFalse(model.likely_harms("two", _worker(50.0)))

    def test_small_excess_is_no_evidence(self) -> None:
        """Guards against evidence from the serving task's own load."""
        model = InterferenceModel()
        _observe_repeatedly(model, _worker(120.0, "best-effort-1"), 1.0)
        self.assertFalse(model.likely_harms("best-effort-1", _worker(50.0)))

    def test_long_evidence_of_no_harm_can_be_overturned(self) -> None:
        """Guards against a probability of 0, and division by zero after it."""
        model = InterferenceModel()
        worker = _worker(50.0, "best-effort-1")
        for step in range(2000):
            model.observe(worker, 1.0 + step)
        _observe_repeatedly(model, _worker(300.0, "best-effort-1"), 5000.0)
        self.assertTrue(model.likely_harms("best-effort-1", worker))

    def test_antagonist_is_picked_once_in_a_window(self) -> None:
        """Guards against acting on a second image while tails lag behind."""
        model = InterferenceModel()
        worker = _worker(300.0, "best-effort-1", "best-effort-2")
        model.observe(worker, 1.0)
        self.assertIsNotNone(model.pick_antagonist(worker, 1.0))
        self.assertIsNone(model.pick_antagonist(worker, 1.3))

    def test_excess_without_best_effort_tasks_is_no_harm(self) -> None:
        """Guards against blaming a task for what was there before it."""
        model = InterferenceModel()
        worker = _worker(120.0)
        (serving,) = worker.runs.values()
        self.assertTrue(model.is_harmed(worker, serving))
        model.observe(worker, 1.0)
        self.assertFalse(model.is_harmed(worker, serving))
        serving.tail_ms_or_cpu_millis = 300.0
        self.assertTrue(model.is_harmed(worker, serving))

    def test_known_harm_counts_whatever_the_own_load_was(self) -> None:
        """Guards against harm that hides behind an earlier excess."""
        model = InterferenceModel()
        _observe_repeatedly(model, _worker(300.0, "harmful"), 1.0)
        worker = _worker(120.0)
        model.observe(worker, 20.0)
        (serving,) = worker.runs.values()
        worker.add(TaskRef("best-effort", 0, 0, 0), _run("harmful", True))
        self.assertTrue(model.is_harmed(worker, serving))
