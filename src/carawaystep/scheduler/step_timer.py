"""Durations of the steps in which a leader's work holds the event loop."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawaystep.entry.clock import Clock
    from carawaystep.planner.decision_log import DecisionLog

# Longer steps are logged.
_LONG_STEP_S = 0.05
_SUMMARY_INTERVAL_S = 5.0


class StepTimer:
    """Adds up the time of each kind of work and logs long steps."""

    def __init__(self, clock: Clock, log: DecisionLog, node: str) -> None:
        """Create a timer without steps.

        :param clock: clock of the process
        :param log: receives a line for each long step, and summaries
        :param node: name of the node
        """
        self._clock = clock
        self._log = log
        self._node = node
        self._total_s: dict[str, float] = {}
        self._longest_s: dict[str, float] = {}
        self._summary_at = clock.now() + _SUMMARY_INTERVAL_S

    @contextmanager
    def measure(self, kind: str) -> Iterator[None]:
        """Measure a step that does not wait.

        :param kind: kind of work, a part of a field name
        """
        began_at = self._clock.now()
        try:
            yield
        finally:
            self._record(kind, self._clock.now() - began_at)

    def log_summary(self, now: float) -> None:
        """Log the time of each kind of work, at most once in an interval.

        :param now: current time in seconds, monotonic
        """
        if now < self._summary_at:
            return
        self._summary_at = now + _SUMMARY_INTERVAL_S
        totals = {f"{kind}_s": s for kind, s in self._total_s.items()}
        longest = {f"{kind}_max_s": s for kind, s in self._longest_s.items()}
        if totals:
            self._log.line("leader.work", self._node, **totals, **longest)
        self._total_s.clear()
        self._longest_s.clear()

    def _record(self, kind: str, seconds: float) -> None:
        self._total_s[kind] = self._total_s.get(kind, 0.0) + seconds
        self._longest_s[kind] = max(self._longest_s.get(kind, 0.0), seconds)
        if seconds > _LONG_STEP_S:
            self._log.line("step.long", kind, seconds=seconds)
