"""Placement that keeps best-effort tasks away from tasks they harm."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.planner.task_placement_policy import TaskPlacementPolicy

if TYPE_CHECKING:
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.planner.interference_model import InterferenceModel
    from carawaystep.planner.task_placement_policy import Rank
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

    def has_room(self, step: StepSpec, worker: TrackedWorker) -> bool:
        """Tell whether a worker has the resources that a task should find."""
        if not worker.fits(step):
            return False
        return not step.fills or (
            _has_spare_cpu(step, worker) and self._leaves_memory(step, worker)
        )

    def rank(
        self, step: StepSpec, worker: TrackedWorker, now: float
    ) -> Rank | None:
        """Return how well a worker suits one more task of a step."""
        if step.fills:
            return self._best_effort_rank(step, worker, now)
        if step.tail_target_ms:
            return self._serving_rank(step, worker)
        # Best fit, which leaves workers with much free CPU to large tasks.
        return _off_preferred_rack(step, worker), worker.free_cpu_millis

    def rank_despite_harm(
        self, step: StepSpec, worker: TrackedWorker
    ) -> Rank | None:
        """Return how little one more task of a step harms others."""
        has_spare_cpu = _has_spare_cpu(step, worker)
        if not has_spare_cpu and worker.free_cpu_millis < step.cpu_millis:
            return None
        return (
            not has_spare_cpu,
            not self._leaves_memory(step, worker),
            # Beside tasks over their target, harm shows late.
            worker.strained_task_count,
            self._interference.expected_harm(step.image, worker),
            -worker.estimated_spare_cpu_millis,
        )

    @staticmethod
    def _leaves_memory(step: StepSpec, worker: TrackedWorker) -> bool:
        reserved_mb = worker.record.capacity.memory_mb * _RESERVED_MEMORY_SHARE
        return worker.free_memory_mb - step.memory_mb >= reserved_mb

    def _best_effort_rank(
        self, step: StepSpec, worker: TrackedWorker, now: float
    ) -> Rank | None:
        if self._interference.likely_harms(
            step.image, worker
        ) or self._interference.confounds(step.image, worker, now):
            return None
        return (
            _off_preferred_rack(step, worker),
            worker.strained_task_count,
            self._interference.expected_harm(step.image, worker),
            -worker.estimated_spare_cpu_millis,
        )

    @staticmethod
    def _serving_rank(step: StepSpec, worker: TrackedWorker) -> Rank:
        """Return the rank of a worker for a serving task.

        After the rack, it favours workers that already run the image and have
        few serving tasks of other images, then those with little free CPU.
        """
        images = worker.serving_images
        same_image = images.get(step.image, 0)
        other_images = sum(images.values()) - same_image
        return (
            _off_preferred_rack(step, worker),
            other_images - min(same_image, 1),
            worker.free_cpu_millis,
        )


def _off_preferred_rack(step: StepSpec, worker: TrackedWorker) -> bool:
    return bool(step.rack) and worker.record.rack != step.rack


def _has_spare_cpu(step: StepSpec, worker: TrackedWorker) -> bool:
    """Tell whether a best-effort task finds enough idle CPU on a worker."""
    needed_cpu_millis = step.cpu_millis * _MIN_BEST_EFFORT_CPU_SHARE
    return worker.estimated_spare_cpu_millis >= needed_cpu_millis
