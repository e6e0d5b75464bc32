"""Limit on retries, so that failures do not multiply the load."""

from __future__ import annotations


class RetryBudget:
    """Allows retries for a share of recent requests.

    Requests fill a bucket, retries empty it. A full bucket holds the retries
    of ``WINDOW_REQUESTS`` requests, but never fewer than ``MIN_RETRIES``, so
    that an idle process may still retry.
    """

    MIN_RETRIES = 3.0
    WINDOW_REQUESTS = 100

    def __init__(self, ratio: float) -> None:
        """Create a full bucket.

        :param ratio: retries per request, 0 to 1
        """
        self._ratio = ratio
        self._limit = max(self.MIN_RETRIES, ratio * self.WINDOW_REQUESTS)
        self._tokens = self.MIN_RETRIES

    @property
    def tokens(self) -> float:
        """Return the retries that are left."""
        return self._tokens

    def request_started(self) -> None:
        """Count a request."""
        self._tokens = min(self._limit, self._tokens + self._ratio)

    def take(self) -> bool:
        """Take one retry, False when none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
