"""Ends of the leases that an owner sends to a worker."""

from __future__ import annotations


class LeaseTerms:
    """Keeps leases in the worker's time and their ends in the owner's.

    A lease ends at a time of the worker's own clock. That clock showed at
    least ``clock_s`` when it was seen, so the lease has ended ``lease_s``
    after that by the owner's clock too, but for the drift between them.
    """

    def __init__(self, lease_s: float, margin_s: float) -> None:
        """Create terms before the worker's clock was seen.

        :param lease_s: length of a lease
        :param margin_s: kept free for drift between the clocks
        """
        self._lease_s = lease_s
        self._margin_s = margin_s
        self._clock_s = 0.0
        self._seen_at = 0.0
        self._end_at = 0.0

    def see(self, clock_s: float, now: float) -> None:
        """Take the worker's clock from a report or a fence.

        :param clock_s: the worker's clock, seconds
        :param now: present time, seconds of a monotonic clock
        """
        self._clock_s = clock_s
        self._seen_at = now

    def grant(self) -> float:
        """Return the end, by the worker's clock, of a lease sent now.

        It is called after each fence as well, because earlier owners may
        have renewed leases until the fence took effect.
        """
        self._end_at = max(self._end_at, self._seen_at + self._lease_s)
        return self._clock_s + self._lease_s

    def all_ended(self, now: float) -> bool:
        """Tell whether every lease that was granted has certainly ended.

        :param now: present time, seconds of a monotonic clock
        """
        return now >= self._end_at + self._margin_s
