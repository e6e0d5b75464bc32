"""Rate limit of the stand-in platform."""

from __future__ import annotations


class TokenBucket:
    """Tokens that refill at a rate, up to those of one second.

    A cost above the whole bucket passes when the bucket is full and leaves
    it in debt; otherwise a large transaction could never pass a low rate.
    """

    def __init__(self, rate_per_s: float) -> None:
        """Create a full bucket.

        :param rate_per_s: tokens added per second
        """
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._filled_at: float | None = None

    def take(self, cost: int, now: float) -> bool:
        """Take tokens for a call.

        :param cost: tokens that the call needs
        :param now: present time, seconds of a monotonic clock
        :returns: False when there are too few; then none are taken
        """
        self._refill(now)
        if self._tokens < min(cost, self._rate_per_s):
            return False
        self._tokens -= cost
        return True

    def _refill(self, now: float) -> None:
        if self._filled_at is not None:
            added = (now - self._filled_at) * self._rate_per_s
            self._tokens = min(self._rate_per_s, self._tokens + added)
        self._filled_at = now
