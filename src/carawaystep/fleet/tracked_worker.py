"""The tracked worker: a planner's view of one lifetime of a worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.errors.broken_invariant import BrokenInvariant
from carawaystep.fleet.worker_health import WorkerHealth

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from carawaystep.fleet.tracked_run import TrackedRun
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.fleet.worker_record import WorkerRecord
    from carawaystep.workflow.step_spec import StepSpec
    from carawaystep.workflow.task_ref import TaskRef

# A worker gets no new work when its last report is older.
REPORT_STALE_AFTER_S = 1.2

# Serving tasks reserve their peak CPU use. This is their mean use as a share
# of it.
_SERVING_MEAN_LOAD = 0.7


class TrackedWorker:
    """Runs, free capacity and health of one lifetime of a worker.

    Invariant: the runs that may exist on it never reserve more than its
    capacity. Runs that are being stopped still count.
    """

    def __init__(self, record: WorkerRecord) -> None:
        """Create a listed worker without runs and reports.

        :param record: entry of the platform's list
        """
        self._record = record
        self._listed = True
        self._runs: dict[TaskRef, TrackedRun] = {}
        self._reserved_cpu_millis = 0
        self._best_effort_cpu_millis = 0
        self._best_effort_count = 0
        self._serving_cpu_millis = 0
        self._long_running_cpu_millis = 0
        self._serving_images: dict[str, int] = {}
        self._reserved_memory_mb = 0
        self._reserved_accelerators = 0
        self._unexpected_cpu_millis = 0
        self._unexpected_memory_mb = 0
        self._unexpected_accelerators = 0
        self._last_report_at: float | None = None
        self._leaving = False
        self._best_effort_blocked_until = 0.0
        # Serving tasks that are over their target by their own load.
        self.strained_task_count = 0
        self.health = WorkerHealth()

    @property
    def key(self) -> WorkerKey:
        """Return the identity of its lifetime."""
        return self._record.key

    @property
    def record(self) -> WorkerRecord:
        """Return its last entry in the platform's list."""
        return self._record

    @property
    def listed(self) -> bool:
        """Tell whether the platform still lists it."""
        return self._listed

    @property
    def last_report_at(self) -> float | None:
        """Return the time of its last report in this term, None before one."""
        return self._last_report_at

    @property
    def leaving(self) -> bool:
        """Tell whether it drains or has been told to leave."""
        return self._leaving or self._record.draining

    @property
    def runs(self) -> dict[TaskRef, TrackedRun]:
        """Return the runs that may exist on it by task, for reading only."""
        return self._runs

    @property
    def free_cpu_millis(self) -> int:
        """Return the unreserved CPU, in thousandths of a core."""
        used = self._reserved_cpu_millis + self._unexpected_cpu_millis
        return self._record.capacity.cpu_millis - used

    @property
    def long_running_cpu_millis(self) -> int:
        """Return the CPU that long-running tasks reserve.

        :returns: thousandths of a core
        """
        return self._long_running_cpu_millis

    @property
    def estimated_spare_cpu_millis(self) -> float:
        """Return the CPU that is likely idle, in thousandths of a core.

        It includes what serving tasks reserve but do not use on average.
        """
        idle = (1 - _SERVING_MEAN_LOAD) * self._serving_cpu_millis
        return self.free_cpu_millis + idle - self._best_effort_cpu_millis

    @property
    def free_memory_mb(self) -> int:
        """Return the memory that no run reserves."""
        used = self._reserved_memory_mb + self._unexpected_memory_mb
        return self._record.capacity.memory_mb - used

    @property
    def free_accelerators(self) -> int:
        """Return the accelerators that no run reserves."""
        used = self._reserved_accelerators + self._unexpected_accelerators
        return self._record.capacity.accelerators - used

    @property
    def best_effort_count(self) -> int:
        """Return the number of best-effort tasks."""
        return self._best_effort_count

    @property
    def best_effort_images(self) -> set[str]:
        """Return the images of the best-effort tasks."""
        return {
            tracked.step.image
            for tracked in self._runs.values()
            if tracked.step.fills
        }

    @property
    def serving_images(self) -> dict[str, int]:
        """Return the number of serving tasks by image, for reading only."""
        return self._serving_images

    def update_record(self, record: WorkerRecord) -> None:
        """Apply a newer entry of the platform's list."""
        self._record = record
        self._listed = True

    def mark_unlisted(self) -> None:
        """Record that the platform no longer lists it."""
        self._listed = False

    def record_report(self, now: float, leaving: bool) -> None:
        """Record the arrival of a report.

        :param now: current time, seconds of a monotonic clock
        :param leaving: whether the worker reports that it will leave
        """
        self._last_report_at = now
        self._leaving = leaving

    def block_best_effort(self, until: float) -> None:
        """Accept no new best-effort tasks until the given time."""
        self._best_effort_blocked_until = until

    def accepts_best_effort(self, now: float) -> bool:
        """Tell whether it may get best-effort tasks."""
        return now >= self._best_effort_blocked_until

    def usable(self, now: float) -> bool:
        """Tell whether it may get new work.

        :param now: current time, seconds of a monotonic clock
        """
        return (
            self._listed
            and not self.leaving
            and self._last_report_at is not None
            and now - self._last_report_at < REPORT_STALE_AFTER_S
            and not self.health.is_suspended(now)
        )

    def fits(self, step: StepSpec) -> bool:
        """Tell whether one more task of a step fits.

        Best-effort tasks need no unreserved CPU.
        """
        # CPU comes first, because it is what most workers lack.
        if not step.fills and step.cpu_millis > self.free_cpu_millis:
            return False
        if step.memory_mb > self.free_memory_mb:
            return False
        return step.accelerators <= self.free_accelerators

    def task_capacity_after(
        self, step: StepSpec, ending: Iterable[TrackedRun]
    ) -> int:
        """Return how many tasks of a step fit once the given runs have ended.

        :param ending: runs on this worker whose resources count as free
        :returns: number of tasks; the task count of the step when its tasks
            need no resources
        """
        ending_runs = list(ending)
        free_cpu_millis = self.free_cpu_millis + sum(
            tracked.step.cpu_millis
            for tracked in ending_runs
            if not tracked.step.fills
        )
        free_memory_mb = self.free_memory_mb + sum(
            tracked.step.memory_mb for tracked in ending_runs
        )
        free_accelerators = self.free_accelerators + sum(
            tracked.step.accelerators for tracked in ending_runs
        )
        task_counts = [
            free // needed
            for free, needed in (
                (free_cpu_millis, 0 if step.fills else step.cpu_millis),
                (free_memory_mb, step.memory_mb),
                (free_accelerators, step.accelerators),
            )
            if needed
        ]
        return max(0, min(task_counts, default=step.count))

    def add(self, ref: TaskRef, run: TrackedRun) -> None:
        """Add a run that may exist from now on, and reserve its resources.

        The capacity is not checked here, because runs that an earlier
        planner placed exist in any case.

        :raises BrokenInvariant: when the worker has a run of the task
        """
        if ref in self._runs:
            raise BrokenInvariant(
                f"task {ref} already has a run on worker {self.key.id}"
            )
        self._runs[ref] = run
        self._add_to_totals(run, 1)

    def remove(self, ref: TaskRef, run: int) -> TrackedRun | None:
        """Release the resources of a run that can no longer exist.

        :param run: number of the run
        :returns: the run, None when the worker does not have it
        """
        tracked = self._runs.get(ref)
        if tracked is None or tracked.run != run:
            return None
        del self._runs[ref]
        self._add_to_totals(tracked, -1)
        return tracked

    def set_pace(self, ref: TaskRef, pace_percent: int, now: float) -> None:
        """Record the pace that a run was ordered to.

        :param pace_percent: share of full speed, 0 to 100
        :param now: current time, seconds of a monotonic clock
        """
        tracked = self._runs[ref]
        self._add_to_totals(tracked, -1)
        tracked.pace_percent = pace_percent
        tracked.pace_set_at = now
        tracked.pace_in_doubt = False
        self._add_to_totals(tracked, 1)

    def set_unexpected_runs(self, steps: Iterable[StepSpec]) -> None:
        """Replace the reported runs that the planner does not expect here.

        They use capacity until a report no longer lists them.

        :param steps: step of each of these runs
        """
        self._unexpected_cpu_millis = self._unexpected_memory_mb = (
            self._unexpected_accelerators
        ) = 0
        for step in steps:
            self._unexpected_cpu_millis += 0 if step.fills else step.cpu_millis
            self._unexpected_memory_mb += step.memory_mb
            self._unexpected_accelerators += step.accelerators

    def tasks_of_step(self, ref: TaskRef) -> Iterator[TaskRef]:
        """Return its tasks of the same step and occurrence."""
        return (other for other in self._runs if other[:3] == ref[:3])

    def _add_to_totals(self, tracked: TrackedRun, sign: int) -> None:
        step = tracked.step
        if step.fills:
            # A slowed task leaves the rest of its CPU to others.
            self._best_effort_cpu_millis += sign * (
                step.cpu_millis * tracked.pace_percent // 100
            )
            self._best_effort_count += sign
        else:
            self._reserved_cpu_millis += sign * step.cpu_millis
        if step.long_running and not step.fills:
            self._long_running_cpu_millis += sign * step.cpu_millis
        if step.tail_target_ms:
            self._serving_cpu_millis += sign * step.cpu_millis
            count = self._serving_images.get(step.image, 0) + sign
            self._serving_images[step.image] = count
            if not count:
                del self._serving_images[step.image]
        self._reserved_memory_mb += sign * step.memory_mb
        self._reserved_accelerators += sign * step.accelerators
