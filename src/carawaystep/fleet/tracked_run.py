"""A run that the planner expects on a worker."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.workflow.step_spec import StepSpec

# Consecutive reports without a run, after its stop was confirmed, that prove
# that it never started.
_REPORTS_TO_RULE_OUT_START = 2


@dataclass(slots=True)
class TrackedRun:
    """A run that may exist on a worker; times are monotonic seconds.

    :param run: number of the run
    :param step: step of the task
    :param priority: priority of its workflow, 0 is the highest
    :param placed_at: when it was placed on the worker
    :param stopping: whether a stop has been ordered
    :param in_doubt: whether it is not known if its start was executed
    :param reports_without_run: number of consecutive reports that do not list
        it since its stop was confirmed; None before that, and always for a
        run that is not in doubt
    :param inherited: whether an earlier leader placed it and no complete
        report of this term has confirmed it
    :param forced: whether it was placed beside tasks that it likely harms,
        because its workflow had no other run
    :param progress_percent: last reported progress
    :param tail_ms_or_cpu_millis: last reported tail latency of a serving
        task, CPU use of any other task
    :param pace_percent: share of full speed that was last ordered
    :param pace_set_at: when the pace was last ordered
    :param pace_in_doubt: whether the worker may run it at another pace than
        the one last ordered
    :param pace_unanswered_at: when a pace was last ordered without an answer,
        None if all orders had one; the worker may carry it out late
    :param confirmed: whether an answer or a report has shown that it started
    :param over_target_since: when the tail of a serving task was first
        reported as harmed by other tasks, None while it is not
    :param own_tail_ms: tail of a serving task that is over its target by its
        own load, as last reported without other causes; 0 if it is not
    :param at_work_since: when a long-running task was first reported as at
        work, None before that
    """

    run: int
    step: StepSpec
    priority: int
    placed_at: float
    stopping: bool = False
    in_doubt: bool = False
    reports_without_run: int | None = None
    inherited: bool = False
    forced: bool = False
    progress_percent: float = 0.0
    tail_ms_or_cpu_millis: float = 0.0
    pace_percent: int = 100
    pace_set_at: float = 0.0
    pace_in_doubt: bool = False
    pace_unanswered_at: float | None = None
    confirmed: bool = False
    over_target_since: float | None = None
    own_tail_ms: float = 0.0
    at_work_since: float | None = None

    @property
    def start_ruled_out(self) -> bool:
        """Tell whether reports prove that a run in doubt never started.

        The first report after the confirmation of its stop may have been
        generated before it. The second was requested after the first had
        arrived, so that it is conclusive.
        """
        return (
            self.reports_without_run is not None
            and self.reports_without_run >= _REPORTS_TO_RULE_OUT_START
        )

    @property
    def ends_by_itself(self) -> bool:
        """Tell whether it is being stopped or is not long-running."""
        return self.stopping or not self.step.long_running

    def record_progress(self, now: float) -> None:
        """Record since when a long-running task has been at work.

        :param now: current time, seconds of a monotonic clock
        """
        if not self.step.long_running or self.progress_percent < 100:
            self.at_work_since = None
        elif self.at_work_since is None:
            self.at_work_since = now

    def worked_s(self, now: float) -> float:
        """Return for how long a long-running task has been at work.

        :param now: current time, seconds of a monotonic clock
        :returns: seconds, 0 for any other task
        """
        return 0.0 if self.at_work_since is None else now - self.at_work_since

    def confirm_stop(self) -> None:
        """Count reports without a run in doubt once its stop is confirmed.

        If the run had started, the worker reports its end. If not, the
        worker now refuses the start.
        """
        if self.in_doubt:
            self.reports_without_run = self.reports_without_run or 0

    def discard_stop_confirmation(self) -> None:
        """Stop counting reports until a stop is confirmed again."""
        self.reports_without_run = None

    def record_report(self, listed: bool) -> None:
        """Record a report of its worker.

        :param listed: whether the report lists the run
        """
        if self.reports_without_run is None:
            return
        if listed:
            self.reports_without_run = 0
        else:
            self.reports_without_run += 1
