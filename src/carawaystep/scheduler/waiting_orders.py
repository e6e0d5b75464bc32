"""Creation of the order of waiting workflows that the settings name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.planner.least_cost_order import LeastCostOrder
from carawaystep.planner.urgency_order import UrgencyOrder
from carawaystep.scheduler.load_settings import WaitingOrderName

if TYPE_CHECKING:
    from carawaystep.planner.waiting_order import WaitingOrder
    from carawaystep.scheduler.load_settings import LoadSettings


def create_waiting_order(settings: LoadSettings) -> WaitingOrder:
    """Return the order of waiting workflows that a deployment asks for."""
    if settings.waiting_order is WaitingOrderName.LEAST_COST:
        return LeastCostOrder()
    return UrgencyOrder()
