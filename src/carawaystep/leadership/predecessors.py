"""Earlier leaders that may not know yet that they were replaced."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.leadership.voter import majority

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from carawaystep.leadership.voter import VoterSet


class Predecessors:
    """Tracks until when earlier leaders may give grants.

    A process stops leading when its lease as the leader ends, and when it
    follows a higher term. A process that uses the address of an earlier one
    proves that the earlier one has ended. A predecessor has therefore stopped
    once a process at its address follows the current term.

    Before that, a leader gives grants only while the store or a majority of
    the stored voters confirms its term. The store confirms the current term
    only, and all predecessors lack a majority once enough voters follow it.
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
        self._followers: set[str] = set()
        # None while the sets of voters are not known.
        self._voter_sets: Sequence[VoterSet] | None = None

    @property
    def stop_time(self) -> float:
        """Return the time after which no predecessor acts any more."""
        return max(self._stop_times.values(), default=self._started_at)

    def set_voter_sets(
        self, voter_sets: Sequence[VoterSet], now: float
    ) -> bool:
        """Set the stored voters on which predecessors may count.

        :param voter_sets: each predecessor needs a majority of one of them
        :param now: current time, seconds of a monotonic clock
        :returns: whether the last predecessor has stopped now
        """
        self._voter_sets = voter_sets
        return self._stop_without_majority(now)

    def record_follower(self, address: str, now: float) -> bool:
        """Record that the process at an address follows the term.

        :param now: current time, seconds of a monotonic clock
        :returns: whether the last predecessor has stopped now
        """
        if address in self._followers:
            return False
        self._followers.add(address)
        if address in self._active:
            self._stop({address}, now)
            if not self._active:
                return True
        return self._stop_without_majority(now)

    def _stop_without_majority(self, now: float) -> bool:
        if not self._active or self._voter_sets is None:
            return False
        if any(self._may_have_majority(v) for v in self._voter_sets):
            return False
        self._stop(set(self._active), now)
        return True

    def _may_have_majority(self, voters: VoterSet) -> bool:
        others = [v for v in voters if v.address not in self._followers]
        return len(others) >= majority(voters)

    def _stop(self, addresses: set[str], now: float) -> None:
        self._active -= addresses
        for address in addresses:
            self._stop_times[address] = min(self._stop_times[address], now)
