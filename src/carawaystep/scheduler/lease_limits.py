"""How long leases and grants may last."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.leadership.leadership import GRANT_S
from carawaystep.leadership.leadership import LEADER_LEASE_S
from carawaystep.planner.planner_limits import PlannerLimits
from carawaystep.scheduler.member import WORKER_LEASE_S

if TYPE_CHECKING:
    from carawaystep.scheduler.node_settings import NodeSettings

# A worker's clock may be slow by this factor, which prolongs its leases.
_MAX_CLOCK_DRIFT_FACTOR = 1.02
_LOST_MARGIN_S = 0.4


def planner_limits(settings: NodeSettings) -> PlannerLimits:
    """Return the times after which the runs of a silent worker have ended.

    After a worker's last report, its member may extend the lease until the
    grant ends. When the worker does not answer, the member stops earlier,
    after the extension window of the worker's proxy.
    """
    lease_ends_after_s = _ends_after_s(
        min(WORKER_LEASE_S, settings.max_lease_s)
    )
    lost_after_s = GRANT_S + lease_ends_after_s
    return PlannerLimits(
        lease_ends_after_s,
        lost_after_s,
        LEADER_LEASE_S + lost_after_s,
        _ends_after_s(settings.max_lease_s),
    )


def _ends_after_s(lease_s: float) -> float:
    """Return the time after which a lease of a slow clock has ended."""
    return lease_s * _MAX_CLOCK_DRIFT_FACTOR + _LOST_MARGIN_S
