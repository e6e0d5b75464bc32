"""Rate limiter of the stand-in platform."""

from __future__ import annotations


class TokenBucket:
    """Token bucket that holds at most the tokens of one second.

    A call that costs more than the capacity is admitted when the bucket is
    full and leaves a negative balance; otherwise a large transaction could
    never pass under a low rate.
    """

    def __init__(self, rate_per_s: float) -> None:
        """Create a full bucket.

        :param rate_per_s: tokens added per second
        """
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._refilled_at: float | None = None

    def try_consume(self, cost: int, now: float) -> bool:
        """Consume the tokens of a call if enough are available.

        :param cost: number of tokens
        :param now: current monotonic time in seconds
        :returns: False if there are too few tokens; then none is consumed
        """
        self._refill(now)
        if self._tokens < min(cost, self._rate_per_s):
            return False
        self._tokens -= cost
        return True

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            added = (now - self._refilled_at) * self._rate_per_s
            self._tokens = min(self._rate_per_s, self._tokens + added)
        self._refilled_at = now
