"""What results of work say about a worker."""

from __future__ import annotations

# Tasks of different workflows that must fail in a row before the worker is
# held responsible; a single bad job has the same cause everywhere.
_SUSPECT_AFTER = 2
_FIRST_SUSPENSION_S = 3.0
_LONGEST_SUSPENSION_S = 12.0
_PAUSE_S = 1.0
_SHORT_PAUSE_S = 0.2


class WorkerHealth:
    """Passive evidence from work: failures in a row and refused orders."""

    def __init__(self) -> None:
        """Create the record of a worker that has done nothing."""
        self._failed: set[str] = set()
        self._suspended_until = 0.0
        self._suspension_s = _FIRST_SUSPENSION_S

    def suspended(self, now: float) -> bool:
        """Tell whether the worker gets no new work for now."""
        return now < self._suspended_until

    def succeed(self) -> None:
        """Note a run that was done."""
        self._failed.clear()
        self._suspension_s = _FIRST_SUSPENSION_S

    def fail(self, workflow: str, now: float) -> bool:
        """Note a run that failed.

        :param workflow: whose task it was
        :returns: True when the worker is suspended because of it
        """
        self._failed.add(workflow)
        if len(self._failed) < _SUSPECT_AFTER or self.suspended(now):
            return False
        self._suspended_until = now + self._suspension_s
        self._suspension_s = min(2 * self._suspension_s, _LONGEST_SUSPENSION_S)
        return True

    def pause(self, now: float) -> None:
        """Note an order that the worker refused or did not answer."""
        self._suspended_until = max(self._suspended_until, now + _PAUSE_S)

    def pause_briefly(self, now: float) -> None:
        """Note an order that did not reach the worker."""
        until = now + _SHORT_PAUSE_S
        self._suspended_until = max(self._suspended_until, until)
