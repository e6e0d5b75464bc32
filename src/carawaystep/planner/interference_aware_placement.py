"""Placement that keeps best-effort tasks away from tasks they harm."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.planner.task_placement_policy import TaskPlacementPolicy

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.planner.interference_model import InterferenceModel
    from carawaystep.workflow.step_spec import StepSpec

# A best-effort task starts only where at least this share of the CPU that it
# can use is spare; with less it would do little but occupy memory.
_MIN_BEST_EFFORT_CPU_SHARE = 0.6

# Share of each worker's memory that best-effort tasks leave to more urgent
# work.
_RESERVED_MEMORY_SHARE = 0.15


class InterferenceAwarePlacement(TaskPlacementPolicy):
    """Packs serving tasks by image and avoids harmful pairs of images.

    With the serving tasks of one image on few workers, a best-effort image
    that harms it finds more workers on which it harms no task.
    """

    def __init__(self, interference: InterferenceModel) -> None:
        """Create the policy.

        :param interference: learns which images harm which
        """
        self._interference = interference

    def shortlist(
        self, step: StepSpec, candidates: Iterable[TrackedWorker], now: float
    ) -> list[TrackedWorker]:
        """Return the candidates on which a step may be placed now."""
        if not step.fills:
            return list(candidates)
        return [
            worker
            for worker in candidates
            if _has_spare_cpu(step, worker)
            and self._leaves_memory(step, worker)
            and not self._interference.likely_harms(step.image, worker)
            and not self._interference.confounds(step.image, worker, now)
        ]

    def choose(
        self, step: StepSpec, candidates: Iterable[TrackedWorker], now: float
    ) -> TrackedWorker | None:
        """Return the worker for one more task, None to wait."""
        if step.fills:
            return self._choose_best_effort(step, candidates, now)
        if step.tail_target_ms:
            return max(
                candidates,
                key=lambda worker: self._serving_rank(step, worker),
                default=None,
            )
        # Best fit, which leaves workers with much free CPU to large tasks.
        return max(
            candidates,
            key=lambda worker: (
                self._on_preferred_rack(step, worker),
                -worker.free_cpu_millis,
            ),
            default=None,
        )

    def choose_despite_harm(
        self, step: StepSpec, candidates: Iterable[TrackedWorker]
    ) -> TrackedWorker | None:
        """Return the worker on which one more task does the least harm."""
        return min(
            (
                worker
                for worker in candidates
                if _has_spare_cpu(step, worker)
                or worker.free_cpu_millis >= step.cpu_millis
            ),
            key=lambda worker: (
                not _has_spare_cpu(step, worker),
                not self._leaves_memory(step, worker),
                self._interference.expected_harm(step.image, worker),
                -worker.estimated_spare_cpu_millis,
            ),
            default=None,
        )

    @staticmethod
    def _leaves_memory(step: StepSpec, worker: TrackedWorker) -> bool:
        reserved_mb = worker.record.capacity.memory_mb * _RESERVED_MEMORY_SHARE
        return worker.free_memory_mb - step.memory_mb >= reserved_mb

    def _choose_best_effort(
        self, step: StepSpec, candidates: Iterable[TrackedWorker], now: float
    ) -> TrackedWorker | None:
        return min(
            self.shortlist(step, candidates, now),
            key=lambda worker: (
                not self._on_preferred_rack(step, worker),
                self._interference.expected_harm(step.image, worker),
                -worker.estimated_spare_cpu_millis,
            ),
            default=None,
        )

    def _serving_rank(
        self, step: StepSpec, worker: TrackedWorker
    ) -> tuple[bool, int, int]:
        """Return a sort key that is highest for the best worker.

        After the rack, it favours workers that already run the image and have
        few serving tasks of other images, then those with little free CPU.
        """
        images = worker.serving_images
        same_image = images.get(step.image, 0)
        other_images = sum(images.values()) - same_image
        return (
            self._on_preferred_rack(step, worker),
            min(same_image, 1) - other_images,
            -worker.free_cpu_millis,
        )

    @staticmethod
    def _on_preferred_rack(step: StepSpec, worker: TrackedWorker) -> bool:
        return not step.rack or worker.record.rack == step.rack


def _has_spare_cpu(step: StepSpec, worker: TrackedWorker) -> bool:
    """Tell whether a best-effort task finds enough idle CPU on a worker."""
    needed_cpu_millis = step.cpu_millis * _MIN_BEST_EFFORT_CPU_SHARE
    return worker.estimated_spare_cpu_millis >= needed_cpu_millis
