"""Times after which a planner requeues the runs of a silent worker."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlannerLimits:
    """Times after which every run on a silent worker must have ended.

    :param lease_ends_after_s: time since the last extension of a lease;
        covers its length and clock drift
    :param lost_after_s: time since the worker's last report in this term;
        covers the last extension of its lease and clock drift
    :param takeover_lost_after_s: time since the start of the term, for
        workers without a report in it; also covers lease extensions by
        leaders of earlier terms, which may act until their own leases end
    :param longest_lease_s: longest lease that a worker accepts; calls that
        were meant for an earlier lifetime may give it to a later one
    """

    lease_ends_after_s: float
    lost_after_s: float
    takeover_lost_after_s: float
    longest_lease_s: float

    @property
    def settle_after_restart_s(self) -> float:
        """Return for how long a restarted worker gets no new work.

        A run that starts later has a lease from its own start that ends no
        sooner than one that calls to an earlier lifetime have given.
        """
        return max(0.0, self.longest_lease_s - self.lease_ends_after_s)

    @property
    def lost_after_unfenced_s(self) -> float:
        """Return when the runs of a restarted, silent worker have ended.

        Counted from when the restart was known, in seconds. The worker has
        not refused calls to its earlier lifetime yet; a start is sent no later
        than the grant for it ends.
        """
        grant_s = self.lost_after_s - self.lease_ends_after_s
        return grant_s + self.longest_lease_s
