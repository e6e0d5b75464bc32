"""The held worker: what a planner has on one lifetime of a worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.errors.broken_invariant import BrokenInvariant
from carawaystep.fleet.worker_health import WorkerHealth

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from carawaystep.fleet.tracked_run import TrackedRun
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.fleet.worker_offer import WorkerOffer
    from carawaystep.workflow.step_spec import StepSpec
    from carawaystep.workflow.task_ref import TaskRef

# A worker that was not heard for so long gets no new work.
REPORT_STALE_AFTER_S = 1.2

# Serving tasks reserve their peak; this share is what they use on average.
_SERVING_MEAN_LOAD = 0.7


class TrackedWorker:
    """Runs, room and health of one lifetime of a worker.

    Its rule: the runs that may exist on it never take more than it has.
    What is being stopped still counts.
    """

    def __init__(self, offer: WorkerOffer) -> None:
        """Create a worker that has not been heard yet.

        :param offer: how the platform lists it
        """
        self._offer = offer
        self._listed = True
        self._runs: dict[TaskRef, TrackedRun] = {}
        self._cpu = 0
        self._best_effort_cpu = 0
        self._best_effort_count = 0
        self._serving_cpu = 0
        self._serving_images: dict[str, int] = {}
        self._memory = 0
        self._accelerators = 0
        self._unexpected_cpu = 0
        self._unexpected_memory = 0
        self._unexpected_accelerators = 0
        self._heard_at: float | None = None
        self._leaving = False
        self._best_effort_blocked_until = 0.0
        self.health = WorkerHealth()

    @property
    def key(self) -> WorkerKey:
        """Return its lifetime."""
        return self._offer.key

    @property
    def offer(self) -> WorkerOffer:
        """Return how the platform last listed it."""
        return self._offer

    @property
    def listed(self) -> bool:
        """Tell whether the platform's list still holds it."""
        return self._listed

    @property
    def last_report_at(self) -> float | None:
        """Return when it last reported under this planner's token."""
        return self._heard_at

    @property
    def leaving(self) -> bool:
        """Tell whether it drains or has been told to leave."""
        return self._leaving or self._offer.draining

    @property
    def runs(self) -> dict[TaskRef, TrackedRun]:
        """Return the runs that may exist on it, for reading only."""
        return self._runs

    @property
    def free_cpu_millis(self) -> int:
        """Return the processor that reserved tasks leave, in millis."""
        taken = self._cpu + self._unexpected_cpu
        return self._offer.capacity.cpu_millis - taken

    @property
    def estimated_spare_cpu_millis(self) -> float:
        """Return the processor that is likely unused, in millis."""
        unused = (1 - _SERVING_MEAN_LOAD) * self._serving_cpu
        return self.free_cpu_millis + unused - self._best_effort_cpu

    @property
    def free_memory_mb(self) -> int:
        """Return the memory that no run takes."""
        taken = self._memory + self._unexpected_memory
        return self._offer.capacity.memory_mb - taken

    @property
    def free_accelerators(self) -> int:
        """Return the accelerators that no run takes."""
        taken = self._accelerators + self._unexpected_accelerators
        return self._offer.capacity.accelerators - taken

    @property
    def best_effort_count(self) -> int:
        """Return the number of filling tasks."""
        return self._best_effort_count

    @property
    def best_effort_images(self) -> set[str]:
        """Return the images of the filling tasks."""
        return {
            tracked.step.image
            for tracked in self._runs.values()
            if tracked.step.fills
        }

    @property
    def serving_images(self) -> dict[str, int]:
        """Return the number of serving tasks by image, for reading only."""
        return self._serving_images

    def update_offer(self, offer: WorkerOffer) -> None:
        """Take a newer entry of the list."""
        self._offer = offer
        self._listed = True

    def mark_unlisted(self) -> None:
        """Note that the list does not hold it any more."""
        self._listed = False

    def record_report(self, now: float, leaving: bool) -> None:
        """Note a report."""
        self._heard_at = now
        self._leaving = leaving

    def block_best_effort(self, until: float) -> None:
        """Take no more filling tasks until a time."""
        self._best_effort_blocked_until = until

    def accepts_best_effort(self, now: float) -> bool:
        """Tell whether it may get filling tasks."""
        return now >= self._best_effort_blocked_until

    def usable(self, now: float) -> bool:
        """Tell whether it may get new work.

        :param now: current time, seconds of a monotonic clock
        """
        return (
            self._listed
            and not self.leaving
            and self._heard_at is not None
            and now - self._heard_at < REPORT_STALE_AFTER_S
            and not self.health.is_suspended(now)
        )

    def fits(self, step: StepSpec) -> bool:
        """Tell whether one more task of a step has room."""
        if step.memory_mb > self.free_memory_mb:
            return False
        if step.accelerators > self.free_accelerators:
            return False
        return step.fills or step.cpu_millis <= self.free_cpu_millis

    def task_capacity_after(
        self, step: StepSpec, leaving: Iterable[TrackedRun]
    ) -> int:
        """Return how many tasks of a step fit once some runs have left."""
        leaving_runs = list(leaving)
        free_cpu_millis = self.free_cpu_millis + sum(
            tracked.step.cpu_millis
            for tracked in leaving_runs
            if not tracked.step.fills
        )
        free_memory = self.free_memory_mb + sum(
            tracked.step.memory_mb for tracked in leaving_runs
        )
        free_accelerators = self.free_accelerators + sum(
            tracked.step.accelerators for tracked in leaving_runs
        )
        task_counts = [
            free // needed
            for free, needed in (
                (free_cpu_millis, 0 if step.fills else step.cpu_millis),
                (free_memory, step.memory_mb),
                (free_accelerators, step.accelerators),
            )
            if needed
        ]
        return max(0, min(task_counts, default=step.count))

    def add(self, ref: TaskRef, run: TrackedRun) -> None:
        """Account for a run.

        A run that an earlier planner placed is taken as it is.
        """
        if ref in self._runs:
            raise BrokenInvariant(f"task {ref} is twice on {self.key.id}")
        self._runs[ref] = run
        self._add_to_totals(run, 1)

    def remove(self, ref: TaskRef, run: int) -> TrackedRun | None:
        """Give back the room of a run that cannot exist any more."""
        tracked = self._runs.get(ref)
        if tracked is None or tracked.run != run:
            return None
        del self._runs[ref]
        self._add_to_totals(tracked, -1)
        return tracked

    def set_pace(self, ref: TaskRef, pace_percent: int, now: float) -> None:
        """Note that a run is ordered to work at a share of full speed."""
        tracked = self._runs[ref]
        self._add_to_totals(tracked, -1)
        tracked.pace_percent = pace_percent
        tracked.pace_set_at = now
        self._add_to_totals(tracked, 1)

    def set_unexpected_runs(self, steps: Iterable[StepSpec]) -> None:
        """Take the steps of reported runs that are not accounted for.

        They hold room until a report shows them no more.
        """
        self._unexpected_cpu = self._unexpected_memory = (
            self._unexpected_accelerators
        ) = 0
        for step in steps:
            self._unexpected_cpu += 0 if step.fills else step.cpu_millis
            self._unexpected_memory += step.memory_mb
            self._unexpected_accelerators += step.accelerators

    def tasks_of_step(self, ref: TaskRef) -> Iterator[TaskRef]:
        """Return the tasks of the same step and occurrence on it."""
        return (tracked for tracked in self._runs if tracked[:3] == ref[:3])

    def _add_to_totals(self, tracked: TrackedRun, sign: int) -> None:
        step = tracked.step
        if step.fills:
            # What is slowed down leaves its processor to others.
            self._best_effort_cpu += sign * (
                step.cpu_millis * tracked.pace_percent // 100
            )
            self._best_effort_count += sign
        else:
            self._cpu += sign * step.cpu_millis
        if step.tail_target_ms:
            self._serving_cpu += sign * step.cpu_millis
            count = self._serving_images.get(step.image, 0) + sign
            self._serving_images[step.image] = count
            if not count:
                del self._serving_images[step.image]
        self._memory += sign * step.memory_mb
        self._accelerators += sign * step.accelerators
