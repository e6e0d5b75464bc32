"""Creation of the policies for waiting work that the settings name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.planner.least_cost_order import LeastCostOrder
from carawaystep.planner.short_work_reserve import NoReserve
from carawaystep.planner.short_work_reserve import ShortWorkReserve
from carawaystep.planner.urgency_order import UrgencyOrder
from carawaystep.scheduler.load_settings import WaitingOrderName

if TYPE_CHECKING:
    from carawaystep.planner.short_work_reserve import WorkerReserve
    from carawaystep.planner.waiting_order import WaitingOrder
    from carawaystep.scheduler.load_settings import LoadSettings


def create_waiting_order(settings: LoadSettings) -> WaitingOrder:
    """Return the order of waiting workflows that a deployment asks for."""
    if settings.waiting_order is WaitingOrderName.LEAST_COST:
        return LeastCostOrder()
    return UrgencyOrder()


def create_worker_reserve(settings: LoadSettings) -> WorkerReserve:
    """Return what keeps long-running tasks off workers for other work."""
    if settings.short_work_reserve:
        return ShortWorkReserve()
    return NoReserve()
