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
    """

    lease_ends_after_s: float
    lost_after_s: float
    takeover_lost_after_s: float
