"""Times that a planner waits before it gives up on runs."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlannerLimits:
    """When a run on an unreachable worker has certainly ended.

    :param lost_after_s: since the worker's last report under this term;
        covers the last extension of its lease and slow clocks
    :param takeover_lost_after_s: since the start of the term, for workers
        that have not reported under it; covers an earlier leader as well
    """

    lost_after_s: float
    takeover_lost_after_s: float
