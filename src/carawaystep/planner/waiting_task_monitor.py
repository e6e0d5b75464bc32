"""Log lines about long-running tasks that wait too long for a worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.planner.eligibility import eligible_workers
from carawaystep.planner.eligibility import workers_with_capacity
from carawaystep.workflow.task_ref import TaskRef

if TYPE_CHECKING:
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.planner.workflow_registry import WorkflowRegistry
    from carawaystep.workflow.workflow import Workflow

_CHECK_INTERVAL_S = 0.5
_LOG_AFTER_S = 3.0

# A task and the number of its last run, 0 before the first. A run between
# two checks begins a new wait.
_Wait = tuple[TaskRef, int]


class WaitingTaskMonitor:
    """Writes one line for each long wait of a long-running task.

    A wait begins when the task is ready and has no run, and ends with its
    placement.
    """

    def __init__(self, registry: WorkflowRegistry, log: DecisionLog) -> None:
        """Create a monitor that has seen no wait.

        :param registry: the workflows
        :param log: receives the lines
        """
        self._registry = registry
        self._log = log
        self._checked_at: float | None = None
        self._waiting_since: dict[_Wait, float] = {}
        self._logged: set[_Wait] = set()

    def check(
        self, usable: list[TrackedWorker], now: float, wall_now: float
    ) -> None:
        """Look for waiting tasks, at most once in an interval.

        To be called after the ready tasks have been placed.

        :param usable: workers that may get new work
        :param now: current time, seconds of a monotonic clock
        :param wall_now: current wall-clock time in seconds
        """
        if (
            self._checked_at is not None
            and now - self._checked_at < _CHECK_INTERVAL_S
        ):
            return
        self._checked_at = now
        waits = self._current_waits(wall_now)
        self._waiting_since = {
            wait: self._waiting_since.get(wait, now) for wait in waits
        }
        self._logged &= waits.keys()
        for wait, workflow in waits.items():
            waited_s = now - self._waiting_since[wait]
            if waited_s > _LOG_AFTER_S and wait not in self._logged:
                self._logged.add(wait)
                self._write_line(workflow, wait, usable, waited_s, now)

    def _current_waits(self, wall_now: float) -> dict[_Wait, Workflow]:
        waiting = self._registry.waiting_long_running_tasks(wall_now)
        return {
            (ref, workflow.task(ref).run): workflow
            for workflow, ref in waiting
        }

    def _write_line(
        self,
        workflow: Workflow,
        wait: _Wait,
        usable: list[TrackedWorker],
        waited_s: float,
        now: float,
    ) -> None:
        ref, run = wait
        step = workflow.step(ref)
        with_capacity = workers_with_capacity(workflow, ref, usable, now)
        eligible = eligible_workers(workflow, ref, with_capacity, ())
        self._log.line(
            "task.waiting",
            str(ref),
            run=run,
            seconds=waited_s,
            cpu=step.cpu_millis,
            memory=step.memory_mb,
            usable=len(usable),
            with_capacity=len(with_capacity),
            eligible=sum(1 for _ in eligible),
        )
