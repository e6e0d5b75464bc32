"""When the store last answered this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.planner.decision_log import DecisionLog

# Failures in a row for so long make the store count as lost in the log.
_LOST_AFTER_S = 1.0


class StorePulse:
    """Notes answers and failures; one line for each loss and return."""

    def __init__(self, log: DecisionLog, now: float) -> None:
        """Create the record of a process that has not asked yet."""
        self._log = log
        self._began_at = now
        self._answered_at: float | None = None
        self._lost = False
        self._steady_since: float | None = None

    @property
    def lost(self) -> bool:
        """Tell whether the store counts as lost."""
        return self._lost

    def age(self, now: float) -> float:
        """Return seconds since the last answer."""
        if self._answered_at is None:
            return now - self._began_at
        return now - self._answered_at

    def steady_s(self, now: float) -> float:
        """Return for how long the store has answered without a loss."""
        if self._lost or self._steady_since is None:
            return 0.0
        return now - self._steady_since

    def answered(self, now: float) -> None:
        """Note an answer of any kind but a refusal."""
        if self._lost or self._steady_since is None:
            self._steady_since = now
        if self._lost:
            self._lost = False
            self._log.line("store.regained", "store", away_s=self.age(now))
        self._answered_at = now

    def failed(self, detail: str, now: float) -> None:
        """Note a call without an answer."""
        if not self._lost and self.age(now) > _LOST_AFTER_S:
            self._lost = True
            self._log.line("store.lost", "store", detail=detail)
