"""Planners and workers for tests."""

from __future__ import annotations

from carawaystep.fleet.amount import Amount
from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.fleet.worker_offer import WorkerOffer
from carawaystep.fleet.worker_report import EndedRun
from carawaystep.fleet.worker_report import RunningTask
from carawaystep.fleet.worker_report import WorkerReport
from carawaystep.planner.decision_log import DecisionLog
from carawaystep.planner.interference import Interference
from carawaystep.planner.planner import Planner
from carawaystep.planner.planner_limits import PlannerLimits
from carawaystep.planner.sharing_placement import SharingPlacement

LIMITS = PlannerLimits(lost_after_s=8.0, takeover_lost_after_s=18.0)


class SilentLog(DecisionLog):
    """Keeps the events in memory."""

    def __init__(self) -> None:
        """Create an empty log."""
        self.events: list[tuple[str, str]] = []

    def line(
        self, event: str, subject: str, **inputs: str | int | float
    ) -> None:
        """Keep an event."""
        self.events.append((event, subject))


def new_planner(now: float = 0.0) -> Planner:
    """Return a planner without workflows and workers."""
    interference = Interference()
    return Planner(
        LIMITS,
        SharingPlacement(interference),
        interference,
        SilentLog(),
        now,
    )


def offer(
    name: str,
    cpu_millis: int = 4000,
    memory_mb: int = 1000,
    draining: bool = False,
    born_ms: int = 1,
) -> WorkerOffer:
    """Return a worker of the service ``desk``."""
    return WorkerOffer(
        key=WorkerKey(name, born_ms),
        service="desk",
        address="127.0.0.1:1",
        availability_zone="zone",
        rack="rack",
        labels=frozenset({"a", "rack"}),
        capacity=Amount(cpu_millis, memory_mb, 0),
        draining=draining,
    )


def report(
    name: str,
    running: list[RunningTask] | None = None,
    ended: list[EndedRun] | None = None,
    born_ms: int = 1,
) -> WorkerReport:
    """Return the lists of a worker."""
    return WorkerReport(WorkerKey(name, born_ms), running or [], ended or [])


def running(
    order: StartOrder, percent: float = 50.0, figure: float = 0.0
) -> RunningTask:
    """Return the row of a run that an order started."""
    return RunningTask(order.ref, order.run, "", percent, figure)


def starts(planner: Planner, now: float = 0.0) -> list[StartOrder]:
    """Plan, take the changes and return the starts among them."""
    planner.plan(now, 2000.0)
    orders = planner.take_changes().orders
    return [order for order in orders if isinstance(order, StartOrder)]
