"""When the leases of workers have ended that earlier leaders extended."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from carawaystep.planner.planner_limits import PlannerLimits


@dataclass(frozen=True, slots=True)
class LastExtensions:
    """When a member may have extended leases last; times are seconds.

    :param by_worker: time of the last extension by id of the worker
    :param others_until: time after which it has extended no other lease
    """

    by_worker: Mapping[str, float]
    others_until: float


class EarlierLeases:
    """Tells until when a worker without a report may hold a lease.

    Only the stored callers of a worker call it. A caller extends the lease
    for an earlier leader until it follows this term, or until the last grant
    of the earlier leaders has ended. Which of its callers are paused or cut
    off is not known, so that each of them has to be heard or waited for.
    """

    def __init__(self, limits: PlannerLimits, now: float) -> None:
        """Create the state at the start of a term, without known callers.

        :param limits: times after which leases have ended
        :param now: current time, seconds of a monotonic clock
        """
        self._limits = limits
        # In the worst case, an earlier leader has sent its last heartbeat at
        # the end of its own lease, a member has used the grant in it to the
        # end, and the lease of the worker then runs its full length.
        self._all_end_at = now + limits.takeover_lost_after_s
        self._callers: Mapping[str, frozenset[str]] = {}
        self._followed_at: dict[str, float] = {}
        self._extensions: dict[str, LastExtensions] = {}

    def restore(self, callers: Mapping[str, frozenset[str]]) -> None:
        """Load the stored callers.

        :param callers: addresses by id of the worker; a worker without an
            entry may have been called by anybody
        """
        self._callers = callers

    def set_predecessor_stop_time(self, at: float) -> None:
        """Set the time after which no leader of an earlier term acts.

        Their last grants and the leases extended with them end as long after
        this as those of a leader after a worker's last report.

        :param at: seconds of a monotonic clock; a later time than the known
            one is ignored
        """
        self._all_end_at = min(
            self._all_end_at, at + self._limits.lost_after_s
        )

    def record_follower(self, address: str, now: float) -> None:
        """Record that the process at an address follows this term.

        :param now: current time, seconds of a monotonic clock
        """
        self._followed_at.setdefault(address, now)

    def record_extensions(
        self, address: str, extensions: LastExtensions
    ) -> None:
        """Record what a follower has extended before it followed the term.

        Only its first statement counts: a later one is of a process that
        replaced it and does not know of its extensions.
        """
        self._extensions.setdefault(address, extensions)

    def end_at(self, worker_id: str) -> float:
        """Return when a lease of an earlier term has ended at the latest.

        :returns: seconds of a monotonic clock
        """
        callers = self._callers.get(worker_id)
        if not callers:
            return self._all_end_at
        last = max(self._caller_end(a, worker_id) for a in callers)
        return min(self._all_end_at, last)

    def _caller_end(self, address: str, worker_id: str) -> float:
        extensions = self._extensions.get(address)
        if extensions is not None:
            extended_at = extensions.by_worker.get(
                worker_id, extensions.others_until
            )
            return extended_at + self._limits.lease_ends_after_s
        followed_at = self._followed_at.get(address)
        if followed_at is None:
            return self._all_end_at
        return followed_at + self._limits.lease_ends_after_s
