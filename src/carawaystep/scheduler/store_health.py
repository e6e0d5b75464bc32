"""Availability of the store as seen by this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.planner.decision_log import DecisionLog

# The store counts as lost if a call fails this long after the last answer.
_LOST_AFTER_S = 1.0


class StoreHealth:
    """Tracks answers and failures and logs each loss and recovery once."""

    def __init__(self, log: DecisionLog, now: float) -> None:
        """Create the state before the first call.

        :param log: receives an event for each loss and recovery
        :param now: current time in seconds, monotonic
        """
        self._log = log
        self._created_at = now
        self._answered_at: float | None = None
        self._lost = False
        self._available_since: float | None = None

    @property
    def lost(self) -> bool:
        """Tell whether the store counts as lost."""
        return self._lost

    def seconds_since_answer(self, now: float) -> float:
        """Return the seconds since the last answer, or since creation."""
        if self._answered_at is None:
            return now - self._created_at
        return now - self._answered_at

    def seconds_available(self, now: float) -> float:
        """Return the seconds for which the store has not been lost.

        The result is 0 while it is lost and before its first answer.
        """
        if self._lost or self._available_since is None:
            return 0.0
        return now - self._available_since

    def record_answer(self, now: float) -> None:
        """Record a call that the store answered and did not refuse."""
        if self._lost or self._available_since is None:
            self._available_since = now
        if self._lost:
            self._lost = False
            self._log.line(
                "store.regained",
                "store",
                away_s=self.seconds_since_answer(now),
            )
        self._answered_at = now

    def record_failure(self, detail: str, now: float) -> None:
        """Record a call that failed.

        :param detail: reason for the log
        """
        if not self._lost and self.seconds_since_answer(now) > _LOST_AFTER_S:
            self._lost = True
            self._log.line("store.lost", "store", detail=detail)
