"""Retry budget, which keeps retries from multiplying the load."""

from __future__ import annotations


class RetryBudget:
    """A token bucket that allows retries for a share of recent requests.

    Each request adds ``ratio`` tokens and each retry takes one. The bucket
    holds at most the tokens of ``WINDOW_REQUESTS`` requests. Its capacity is
    at least ``MIN_RETRIES`` and it starts with as many, so that a process
    with little traffic can retry too.
    """

    MIN_RETRIES = 3.0
    WINDOW_REQUESTS = 100

    def __init__(self, ratio: float) -> None:
        """Create a bucket of ``MIN_RETRIES`` tokens.

        :param ratio: retries per request, 0 to 1
        """
        self._ratio = ratio
        self._capacity = max(self.MIN_RETRIES, ratio * self.WINDOW_REQUESTS)
        self._tokens = self.MIN_RETRIES

    @property
    def tokens(self) -> float:
        """Return the number of available retries."""
        return self._tokens

    def record_request(self) -> None:
        """Add the share of a retry that a new request allows."""
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def try_consume(self) -> bool:
        """Take the token of one retry.

        :returns: False if less than one token is available
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
