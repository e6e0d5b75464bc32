"""Placement that keeps harmful neighbours apart."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.planner.task_placement_policy import TaskPlacementPolicy

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.planner.interference_model import InterferenceModel
    from carawaystep.workflow.step_spec import StepSpec

# A filling task starts only where it finds at least this share of the
# processor it can use; with less it would only hold memory.
_FILLING_SHARE = 0.6

# Memory of each worker that filling tasks leave to more urgent work.
_KEPT_MEMORY_SHARE = 0.15


class InterferenceAwarePlacement(TaskPlacementPolicy):
    """Groups serving tasks by image and places filling ones beside others.

    Serving tasks of one image on few workers leave more workers on which a
    filling image harms nobody.
    """

    def __init__(self, interference: InterferenceModel) -> None:
        """Create the policy.

        :param interference: what is known of pairs of images
        """
        self._interference = interference

    def shortlist(
        self, step: StepSpec, candidates: Iterable[TrackedWorker], now: float
    ) -> list[TrackedWorker]:
        """Return the candidates that tasks of a step can be given now."""
        if not step.fills:
            return list(candidates)
        needed = step.cpu_millis * _FILLING_SHARE
        return [
            worker
            for worker in candidates
            if worker.estimated_spare_cpu_millis >= needed
            and self._leaves_memory(step, worker)
            and not self._interference.likely_harms(step.image, worker)
            and not self._interference.confounds(step.image, worker, now)
        ]

    def choose(
        self, step: StepSpec, candidates: Iterable[TrackedWorker], now: float
    ) -> TrackedWorker | None:
        """Return the worker for one more task, None to wait."""
        if step.fills:
            return self._choose_filling(step, candidates, now)
        if step.tail_target_ms:
            return max(
                candidates,
                key=lambda worker: self._serving_rank(step, worker),
                default=None,
            )
        # The tightest place keeps large ones for large tasks.
        return max(
            candidates,
            key=lambda worker: (
                self._near(step, worker),
                -worker.free_cpu_millis,
            ),
            default=None,
        )

    def choose_despite_harm(
        self, step: StepSpec, candidates: Iterable[TrackedWorker]
    ) -> TrackedWorker | None:
        """Return the worker on which one more task does least harm."""
        return min(
            candidates,
            key=lambda worker: (
                worker.estimated_spare_cpu_millis
                < step.cpu_millis * _FILLING_SHARE,
                not self._leaves_memory(step, worker),
                self._interference.expected_harm(step.image, worker),
                -worker.estimated_spare_cpu_millis,
            ),
            default=None,
        )

    @staticmethod
    def _leaves_memory(step: StepSpec, worker: TrackedWorker) -> bool:
        kept = worker.offer.capacity.memory_mb * _KEPT_MEMORY_SHARE
        return worker.free_memory_mb - step.memory_mb >= kept

    def _choose_filling(
        self, step: StepSpec, candidates: Iterable[TrackedWorker], now: float
    ) -> TrackedWorker | None:
        return min(
            self.shortlist(step, candidates, now),
            key=lambda worker: (
                not self._near(step, worker),
                self._interference.expected_harm(step.image, worker),
                -worker.estimated_spare_cpu_millis,
            ),
            default=None,
        )

    def _serving_rank(
        self, step: StepSpec, worker: TrackedWorker
    ) -> tuple[bool, int, int]:
        images = worker.serving_images
        same = images.get(step.image, 0)
        others = sum(images.values()) - same
        return (
            self._near(step, worker),
            min(same, 1) - others,
            -worker.free_cpu_millis,
        )

    @staticmethod
    def _near(step: StepSpec, worker: TrackedWorker) -> bool:
        return not step.rack or worker.offer.rack == step.rack
