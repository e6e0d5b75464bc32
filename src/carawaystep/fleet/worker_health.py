"""What results of work say about a worker."""

from __future__ import annotations

# Tasks of different workflows that must fail in a row before the worker is
# held responsible; a single bad job has the same cause everywhere.
_SUSPEND_AFTER_FAILURES = 2
_FIRST_SUSPENSION_S = 3.0
_MAX_SUSPENSION_S = 12.0
_REFUSED_ORDER_PAUSE_S = 1.0
_UNSENT_ORDER_PAUSE_S = 0.2


class WorkerHealth:
    """Passive evidence from work: failures in a row and refused orders."""

    def __init__(self) -> None:
        """Create the record of a worker that has done nothing."""
        self._failed_workflows: set[str] = set()
        self._suspended_until = 0.0
        self._suspension_s = _FIRST_SUSPENSION_S

    def is_suspended(self, now: float) -> bool:
        """Tell whether the worker gets no new work for now."""
        return now < self._suspended_until

    def record_success(self) -> None:
        """Note a run that was done."""
        self._failed_workflows.clear()
        self._suspension_s = _FIRST_SUSPENSION_S

    def record_failure(self, workflow: str, now: float) -> bool:
        """Note a run that failed.

        :param workflow: whose task it was
        :returns: True when the worker is suspended because of it
        """
        self._failed_workflows.add(workflow)
        if len(
            self._failed_workflows
        ) < _SUSPEND_AFTER_FAILURES or self.is_suspended(now):
            return False
        self._suspended_until = now + self._suspension_s
        self._suspension_s = min(2 * self._suspension_s, _MAX_SUSPENSION_S)
        return True

    def pause(self, now: float) -> None:
        """Note an order that the worker refused or did not answer."""
        self._suspended_until = max(
            self._suspended_until, now + _REFUSED_ORDER_PAUSE_S
        )

    def pause_briefly(self, now: float) -> None:
        """Note an order that did not reach the worker."""
        until = now + _UNSENT_ORDER_PAUSE_S
        self._suspended_until = max(self._suspended_until, until)
