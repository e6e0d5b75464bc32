"""Health of a worker, inferred from the results of its runs and orders."""

from __future__ import annotations

# A worker is suspended once tasks of this many workflows have failed on it
# without a success in between. Failures of one workflow prove nothing, because
# the tasks of a faulty workflow fail on every worker.
_SUSPEND_AFTER_FAILED_WORKFLOWS = 2
_FIRST_SUSPENSION_S = 3.0
# A long-running task that only this worker can take is away for longer.
_MAX_SUSPENSION_S = 6.0
# Failures that lie further apart have different causes.
_FAILURE_MEMORY_S = 30.0
_REFUSED_OR_UNANSWERED_SUSPENSION_S = 1.0
_UNSENT_ORDER_SUSPENSION_S = 0.2


class WorkerHealth:
    """Suspends a worker after repeated failures and refused orders.

    Suspensions after failed runs double in length until a run succeeds or
    none has failed for some time. Those after refused, unanswered and unsent
    orders have fixed lengths.
    """

    def __init__(self) -> None:
        """Create the health of a worker without results."""
        self._failed_workflows: dict[str, float] = {}
        self._suspended_until = 0.0
        self._suspension_s = _FIRST_SUSPENSION_S

    def is_suspended(self, now: float) -> bool:
        """Tell whether the worker gets no new work at this time."""
        return now < self._suspended_until

    def record_success(self) -> None:
        """Record a run that succeeded."""
        self._failed_workflows.clear()
        self._suspension_s = _FIRST_SUSPENSION_S

    def record_failure(self, workflow: str, now: float) -> bool:
        """Record a run that failed.

        :param workflow: id of the task's workflow
        :param now: current time, seconds of a monotonic clock
        :returns: True when this failure suspends the worker
        """
        self._forget_failures(now - _FAILURE_MEMORY_S)
        self._failed_workflows[workflow] = now
        if len(
            self._failed_workflows
        ) < _SUSPEND_AFTER_FAILED_WORKFLOWS or self.is_suspended(now):
            return False
        self._suspended_until = now + self._suspension_s
        self._suspension_s = min(2 * self._suspension_s, _MAX_SUSPENSION_S)
        return True

    def suspend_after_refusal(self, now: float) -> None:
        """Suspend the worker after a refused or unanswered order."""
        self._suspended_until = max(
            self._suspended_until, now + _REFUSED_OR_UNANSWERED_SUSPENSION_S
        )

    def suspend_after_unsent_order(self, now: float) -> None:
        """Suspend the worker briefly after an order that was not sent."""
        until = now + _UNSENT_ORDER_SUSPENSION_S
        self._suspended_until = max(self._suspended_until, until)

    def _forget_failures(self, before: float) -> None:
        """Forget workflows without a failure since a time."""
        for workflow, failed_at in list(self._failed_workflows.items()):
            if failed_at < before:
                del self._failed_workflows[workflow]
        if not self._failed_workflows:
            self._suspension_s = _FIRST_SUSPENSION_S
