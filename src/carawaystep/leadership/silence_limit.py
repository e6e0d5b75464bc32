"""How long the heartbeats of a leader may stay away."""

from __future__ import annotations

from collections import deque

# Four times the interval of the leader's heartbeats.
MIN_SILENCE_LIMIT_S = 1.0
# A leader that is silent for longer is replaced, however busy it was.
MAX_SILENCE_LIMIT_S = 3.0
_DELAY_FACTOR = 2.0
_DELAY_WINDOW_S = 10.0


class SilenceLimit:
    """Grows with the recent delays of the leader's event loop.

    The leader announces it in its heartbeats, so that members do not depose
    a leader that is slow but works. No safety depends on it.
    """

    def __init__(self) -> None:
        """Create the limit of a leader that was never delayed."""
        # Time and length of each recent delay.
        self._delays: deque[tuple[float, float]] = deque()

    def record_delay(self, late_s: float, now: float) -> None:
        """Record that the leader's event loop ran late.

        :param late_s: length of the delay in seconds
        :param now: current time in seconds, monotonic
        """
        self._delays.append((now, late_s))

    def seconds(self, now: float) -> float:
        """Return the seconds without a heartbeat after which it is replaced.

        :param now: current time in seconds, monotonic
        """
        while self._delays and now - self._delays[0][0] > _DELAY_WINDOW_S:
            self._delays.popleft()
        longest_s = max((late_s for _, late_s in self._delays), default=0.0)
        return min(
            MAX_SILENCE_LIMIT_S,
            MIN_SILENCE_LIMIT_S + _DELAY_FACTOR * longest_s,
        )
