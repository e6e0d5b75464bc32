"""Factories of planners, workers and reports for tests."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.worker_capacity import WorkerCapacity
from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.fleet.worker_record import WorkerRecord
from carawaystep.fleet.worker_report import EndedRun
from carawaystep.fleet.worker_report import ReportedRun
from carawaystep.fleet.worker_report import WorkerReport
from carawaystep.planner.decision_log import DecisionLog
from carawaystep.planner.interference_aware_placement import (
    InterferenceAwarePlacement,
)
from carawaystep.planner.interference_model import InterferenceModel
from carawaystep.planner.planner import Planner
from carawaystep.planner.planner_limits import PlannerLimits
from carawaystep.workflow.step_spec import StepSpec

if TYPE_CHECKING:
    from carawaystep.planner.short_work_reserve import WorkerReserve
    from carawaystep.planner.waiting_order import WaitingOrder

# The daemon counts events by name; a metric has no other characters.
_EVENT_PATTERN = re.compile(r"[a-z0-9_]+(\.[a-z0-9_]+)*")

LIMITS = PlannerLimits(
    lease_ends_after_s=6.0,
    lost_after_s=8.0,
    takeover_lost_after_s=18.0,
    longest_lease_s=6.0,
)
ONE_TASK = StepSpec(1, cpu_millis=1000, memory_mb=100)
SERVING = StepSpec(
    1,
    cpu_millis=1000,
    memory_mb=100,
    long_running=True,
    image="serving",
    tail_target_ms=100.0,
)
BEST_EFFORT = StepSpec(
    1, cpu_millis=1000, memory_mb=100, fills=True, image="best-effort"
)


class RecordingLog(DecisionLog):
    """Keeps the events in memory."""

    def __init__(self) -> None:
        """Create an empty log.

        ``fields`` has those of the last line of each event.
        """
        self.events: list[tuple[str, str]] = []
        self.fields: dict[str, dict[str, str | int | float]] = {}

    def line(
        self, event: str, subject: str, **inputs: str | int | float
    ) -> None:
        """Keep an event.

        :raises ValueError: the daemon cannot count events of this name
        """
        if not _EVENT_PATTERN.fullmatch(event):
            raise ValueError(f"event {event!r} is no name of a metric")
        self.events.append((event, subject))
        self.fields[event] = inputs


def no_contacts(key: WorkerKey) -> tuple[float, ...]:
    """Return the contact times of a worker that no member calls."""
    return ()


def new_planner(
    now: float = 0.0,
    log: DecisionLog | None = None,
    order: WaitingOrder | None = None,
    reserve: WorkerReserve | None = None,
    limits: PlannerLimits = LIMITS,
) -> Planner:
    """Return a planner without workflows and workers.

    :param log: receives its lines, by default none that is kept
    :param order: order of waiting workflows, None for the default
    :param reserve: workers that long-running tasks leave, None for the
        default
    :param limits: times after which a silent worker has no runs
    """
    interference = InterferenceModel()
    return Planner(
        limits,
        InterferenceAwarePlacement(interference),
        interference,
        log or RecordingLog(),
        now,
        order,
        reserve=reserve,
    )


def worker_record(
    name: str,
    cpu_millis: int = 4000,
    memory_mb: int = 1000,
    draining: bool = False,
    started_at_ms: int = 1,
) -> WorkerRecord:
    """Return the list entry of a worker of the service ``desk``."""
    return WorkerRecord(
        key=WorkerKey(name, started_at_ms),
        service="desk",
        address="127.0.0.1:1",
        availability_zone="zone",
        rack="rack",
        labels=frozenset({"a", "rack"}),
        capacity=WorkerCapacity(cpu_millis, memory_mb, 0),
        draining=draining,
    )


def planner_with_workers(
    *names: str, limits: PlannerLimits = LIMITS
) -> Planner:
    """Return a planner with empty workers that have reported."""
    planner = new_planner(limits=limits)
    planner.update_worker_list([worker_record(name) for name in names], 0.0)
    for name in names:
        planner.handle_report(report(name), 0.0)
    return planner


def report(
    name: str,
    running: list[ReportedRun] | None = None,
    ended: list[EndedRun] | None = None,
    started_at_ms: int = 1,
    ends_truncated: bool = False,
) -> WorkerReport:
    """Return a worker's report."""
    return WorkerReport(
        WorkerKey(name, started_at_ms),
        running or [],
        ended or [],
        ends_truncated=ends_truncated,
    )


def running(
    order: StartOrder,
    progress_percent: float = 50.0,
    tail_ms_or_cpu_millis: float = 0.0,
) -> ReportedRun:
    """Return the reported state of a run that an order started."""
    return ReportedRun(
        order.ref, order.run, "", progress_percent, tail_ms_or_cpu_millis
    )


def plan_and_take_starts(
    planner: Planner, now: float = 0.0
) -> list[StartOrder]:
    """Plan, take the changes and return their start orders."""
    planner.plan(now, 2000.0)
    orders = planner.take_changes().orders
    return [order for order in orders if isinstance(order, StartOrder)]
