"""Earlier leaders that may not know yet that they were replaced."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class Predecessors:
    """Tracks until when earlier leaders may give grants.

    A process stops leading when its lease as the leader ends, and when it
    follows a higher term. A process that uses the address of an earlier one
    proves that the earlier one has ended. A predecessor has therefore stopped
    once a process at its address follows the current term.
    """

    def __init__(self, leases: Mapping[str, float], now: float) -> None:
        """Create the predecessors of a term that nobody follows yet.

        :param leases: by address of the node, seconds after which its lease
            as the leader has ended
        :param now: current time, seconds of a monotonic clock
        """
        self._started_at = now
        self._stop_times = {
            address: now + lease_s for address, lease_s in leases.items()
        }
        self._active = set(leases)

    @property
    def stop_time(self) -> float:
        """Return the time after which no predecessor acts any more."""
        return max(self._stop_times.values(), default=self._started_at)

    def record_follower(self, address: str, now: float) -> bool:
        """Record that the process at an address follows the term.

        :param now: current time, seconds of a monotonic clock
        :returns: whether it was the last predecessor that did not
        """
        if address not in self._active:
            return False
        self._active.remove(address)
        self._stop_times[address] = min(self._stop_times[address], now)
        return not self._active
