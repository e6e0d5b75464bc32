"""Expiry of the task leases that an owner grants to a worker."""

from __future__ import annotations


class LeaseTracker:
    """Grants leases in the worker's time and tracks expiry in the owner's.

    A lease expires at a time of the worker's clock, ``lease_s`` after the
    latest reading ``clock_s`` that the owner received. When the reading
    arrived, the worker's clock had already reached ``clock_s``, so that the
    lease expires no later than ``lease_s`` after the arrival by the owner's
    clock, apart from drift between the clocks.
    """

    def __init__(self, lease_s: float, margin_s: float) -> None:
        """Create a tracker without a reading of the worker's clock.

        :param lease_s: length of a lease in seconds
        :param margin_s: seconds added to the expiry to allow for clock drift
        """
        self._lease_s = lease_s
        self._margin_s = margin_s
        self._worker_clock_s = 0.0
        self._observed_at = 0.0
        self._last_expiry_at = 0.0

    def observe_clock(self, clock_s: float, now: float) -> None:
        """Record a reading of the worker's clock from a report or a fence.

        :param clock_s: the worker's monotonic clock, seconds
        :param now: the owner's current monotonic time in seconds
        """
        self._worker_clock_s = clock_s
        self._observed_at = now

    def grant_lease(self) -> float:
        """Grant a lease and return its expiry by the worker's clock.

        It is called after each fence as well, because earlier owners may
        have renewed leases until the fence took effect.

        :returns: time of the worker's clock in seconds
        """
        self._last_expiry_at = max(
            self._last_expiry_at, self._observed_at + self._lease_s
        )
        return self._worker_clock_s + self._lease_s

    def all_expired(self, now: float) -> bool:
        """Return whether every granted lease has certainly expired.

        :param now: the owner's current monotonic time in seconds
        """
        return now >= self._last_expiry_at + self._margin_s
