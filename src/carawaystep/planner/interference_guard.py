"""Protection of serving tasks from best-effort tasks that harm them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from carawaystep.fleet.tracked_worker import REPORT_STALE_AFTER_S
from carawaystep.planner.harm_statistics import HarmStatistics

if TYPE_CHECKING:
    from carawaystep.fleet.tracked_run import TrackedRun
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.planner.interference_model import InterferenceModel
    from carawaystep.workflow.task_ref import TaskRef

# A task without checkpoints that has progressed further is slowed down
# instead of being restarted on another worker.
_MAX_RESTART_PROGRESS_PERCENT = 40.0

# Time for which a task must have been harmed until the best-effort tasks
# beside it are halted: first those of images whose probability of harming it
# is at least _HALT_MIN_PROBABILITY, then all. Harm may last at most 4 s;
# reports and orders take about 1 s in addition to these times.
_HALT_POSSIBLE_ANTAGONISTS_AFTER_S = 1.6
_HALT_MIN_PROBABILITY = 0.15
_HALT_ALL_AFTER_S = 2.4
# A worker gets no best-effort tasks for this time after a report of harm.
_BLOCK_AFTER_HARM_S = 1.5
_MIN_PACE_INTERVAL_S = 1.0
# A worker may carry out an order without an answer up to this much later, and
# after newer ones. Meanwhile the pace is ordered again at an interval.
_MAX_ORDER_DELAY_S = 15.0
_LATE_ORDER_INTERVAL_S = 3.0
_FULL_PACE_PERCENT = 100
# Pace of a best-effort task that has to run beside tasks that it likely harms,
# whether it was placed there or resumes after a halt.
REDUCED_PACE_PERCENT = 10


@dataclass(frozen=True, slots=True)
class GuardAction:
    """Action on the run of one best-effort task.

    :param ref: the task
    :param pace_percent: new share of full speed, 0 to 100; None to stop the
        run, so that it is placed again
    """

    ref: TaskRef
    pace_percent: int | None


class InterferenceGuard:
    """Decides from reports which best-effort tasks to move, slow or halt."""

    def __init__(self, interference: InterferenceModel) -> None:
        """Create a guard.

        :param interference: learns which images harm which
        """
        self._interference = interference
        self._statistics = HarmStatistics()
        # Time of the last report, by worker.
        self._reported_at: dict[WorkerKey, float] = {}

    def take_statistics(self) -> HarmStatistics:
        """Return the statistics since the last call."""
        statistics, self._statistics = self._statistics, HarmStatistics()
        return statistics

    def forget_worker(self, worker: WorkerKey) -> None:
        """Drop what is known of a removed worker."""
        self._reported_at.pop(worker, None)
        self._interference.forget_worker(worker)

    def process_report(
        self, worker: TrackedWorker, now: float
    ) -> list[GuardAction]:
        """Learn from a worker's report and return the actions to take.

        :param worker: worker whose runs hold the values just reported
        :param now: current time, seconds of a monotonic clock
        """
        self._interference.observe(worker, now)
        since_report_s = min(
            now - self._reported_at.get(worker.key, now), REPORT_STALE_AFTER_S
        )
        self._reported_at[worker.key] = now
        for tracked in worker.runs.values():
            self._track_harm(worker, tracked, now)
            self._record_over_target(worker, tracked, since_report_s)
        actions = [*self._protect(worker, now), *self._resume(worker, now)]
        return [*actions, *self._repeat_paces(worker, actions, now)]

    def _track_harm(
        self, worker: TrackedWorker, tracked: TrackedRun, now: float
    ) -> None:
        if not self._interference.is_harmed(worker, tracked):
            tracked.over_target_since = None
            return
        worker.block_best_effort(now + _BLOCK_AFTER_HARM_S)
        if tracked.over_target_since is None:
            tracked.over_target_since = now

    def _record_over_target(
        self, worker: TrackedWorker, tracked: TrackedRun, seconds: float
    ) -> None:
        if self._interference.reports_tail(tracked) and (
            tracked.tail_ms_or_cpu_millis > tracked.step.tail_target_ms
        ):
            self._statistics.record_over_target(
                self._interference.cause_beside(worker, tracked), seconds
            )

    def _protect(self, worker: TrackedWorker, now: float) -> list[GuardAction]:
        """Halt, move or slow best-effort tasks while a task is harmed.

        When the harm lasts, best-effort tasks are halted: first those of
        images whose probability of harm is at least
        ``_HALT_MIN_PROBABILITY``, then all. Before that, the tasks of the
        image that most likely harms the task are stopped, so that they are
        placed elsewhere, or slowed.
        """
        possible_antagonists = self._interference.possible_antagonists(
            worker,
            now,
            _HALT_POSSIBLE_ANTAGONISTS_AFTER_S,
            _HALT_MIN_PROBABILITY,
        ) | self._interference.possible_antagonists(
            worker, now, _HALT_ALL_AFTER_S, 0.0
        )
        if possible_antagonists:
            return [
                GuardAction(ref, 0)
                for ref, tracked in worker.runs.items()
                if self._is_active_best_effort(tracked, possible_antagonists)
            ]
        antagonist = self._interference.pick_antagonist(worker, now)
        if antagonist is None:
            return []
        return [
            # Slowing divides the pace by 10: 100, 10, 1 and then 0 percent.
            GuardAction(
                ref,
                None
                if self._should_move(tracked)
                else tracked.pace_percent // 10,
            )
            for ref, tracked in worker.runs.items()
            if self._is_active_best_effort(tracked, {antagonist})
        ]

    def record_moved(self, tracked: TrackedRun, now: float) -> None:
        """Record that a run was stopped to be placed elsewhere.

        :param now: current time, seconds of a monotonic clock
        """
        self._statistics.record_moved(now - tracked.placed_at)

    def _resume(self, worker: TrackedWorker, now: float) -> list[GuardAction]:
        """Raise the pace of slowed tasks on a worker without recent harm."""
        if not worker.accepts_best_effort(now):
            return []
        actions = []
        for ref, tracked in worker.runs.items():
            if tracked.pace_percent == _FULL_PACE_PERCENT or tracked.stopping:
                continue
            if now - tracked.pace_set_at < _MIN_PACE_INTERVAL_S:
                continue
            if not self._interference.likely_harms(tracked.step.image, worker):
                tracked.forced = False
                actions.append(GuardAction(ref, _FULL_PACE_PERCENT))
            elif not tracked.pace_percent:
                actions.append(GuardAction(ref, REDUCED_PACE_PERCENT))
        return actions

    def _repeat_paces(
        self, worker: TrackedWorker, actions: list[GuardAction], now: float
    ) -> list[GuardAction]:
        """Order the paces that workers may not have applied.

        :param actions: actions already chosen, whose tasks are left out
        """
        acted_on = {action.ref for action in actions}
        return [
            GuardAction(ref, self._safe_pace(worker, tracked))
            for ref, tracked in worker.runs.items()
            if not tracked.stopping
            and ref not in acted_on
            and self._is_repeat_due(tracked, now)
        ]

    @staticmethod
    def _is_repeat_due(tracked: TrackedRun, now: float) -> bool:
        since_order_s = now - tracked.pace_set_at
        if tracked.pace_in_doubt:
            return since_order_s >= _MIN_PACE_INTERVAL_S
        return (
            tracked.pace_unanswered_at is not None
            and now - tracked.pace_unanswered_at < _MAX_ORDER_DELAY_S
            and since_order_s >= _LATE_ORDER_INTERVAL_S
        )

    def _safe_pace(self, worker: TrackedWorker, tracked: TrackedRun) -> int:
        """Return the pace of a run, reduced if it likely harms others."""
        if self._interference.likely_harms(tracked.step.image, worker):
            return min(tracked.pace_percent, REDUCED_PACE_PERCENT)
        return tracked.pace_percent

    @staticmethod
    def _is_active_best_effort(tracked: TrackedRun, images: set[str]) -> bool:
        return (
            tracked.step.fills
            and tracked.step.image in images
            and tracked.pace_percent > 0
            and not tracked.stopping
        )

    @staticmethod
    def _should_move(tracked: TrackedRun) -> bool:
        if tracked.forced:
            return False
        return (
            tracked.step.checkpointing
            or tracked.progress_percent < _MAX_RESTART_PROGRESS_PERCENT
        )
