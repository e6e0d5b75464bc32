"""Replay of bursts of urgent work and batch work, with refusals.

Both kinds use the same CPU. A caller who is refused comes back when told to,
up to a number of times.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
import math
from random import Random
from typing import TYPE_CHECKING

from carawaystep.planner.refusal import find_refusal
from carawaystep.planner.room_forecast import RoomForecast
from carawaystep.scheduler.retry_schedule import retry_after_s
from tests.planner.arriving_workflows import BOOKINGS
from tests.planner.arriving_workflows import draw_workflow
from tests.planner.arriving_workflows import ROUTE_PLANS
from tests.planner.arriving_workflows import TaskCpu
from tests.planner.overload_simulation import EPOCH_S
from tests.planner.overload_simulation import OverloadSettings
from tests.planner.overload_simulation import OverloadSimulation

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests.planner.arriving_workflows import ArrivingWorkflow

_WORKERS_MILLIS = (10_000,) * 8
_TASK_MILLIS = 1000
_ARRIVALS_END_S = 30.0
_BURST_S = (4.0, 20.0)
_MAX_ATTEMPTS = 5
_FORECAST_INTERVAL_S = 0.5
_URGENT = replace(ROUTE_PLANS, priority=0, best_effort=False)
_BATCH = replace(BOOKINGS, priority=2)


@dataclass(frozen=True, slots=True)
class ReplayLoad:
    """Work that arrives, as a share of what the workers can do.

    :param urgent: urgent work outside the burst
    :param batch: batch work outside the burst
    :param urgent_burst: factor on the urgent work in the burst
    :param batch_burst: factor on the batch work in the burst
    """

    urgent: float
    batch: float
    urgent_burst: float
    batch_burst: float


@dataclass(frozen=True, slots=True)
class Served:
    """What became of the callers of one kind or size.

    :param of_use: share that ended while it was of use
    :param refused: share that was refused until it gave up
    """

    of_use: float
    refused: float


class AdmissionReplay(OverloadSimulation):
    """One replay, which is reproducible by its seed."""

    def __init__(self, load: ReplayLoad, seed: int, admission: bool) -> None:
        """Create a replay at time 0.

        :param seed: seed of the arrivals and of the run times
        :param admission: whether submissions may be refused
        """
        settings = OverloadSettings(_WORKERS_MILLIS, _TASK_MILLIS, 0.0, 1, 1)
        super().__init__(settings, seed)
        self._admission = admission
        self._forecast = RoomForecast(-math.inf)
        self._attempts = self._draw_arrivals(load, Random(seed))
        self._refused_at: dict[str, float] = {}
        self.refusal_count = 0

    def served(self, priority: int, largest: float = 1.0) -> Served:
        """Return what became of the callers of a kind.

        :param largest: share of the largest workflows to look at
        """
        by_work = sorted(
            (
                workflow
                for workflow in self._arrived.values()
                if workflow.spec.priority == priority
            ),
            key=lambda workflow: workflow.work,
        )
        return self._summarize(by_work[-round(largest * len(by_work)) :])

    def _draw_arrivals(
        self, load: ReplayLoad, random: Random
    ) -> list[tuple[float, int, ArrivingWorkflow]]:
        """Return the first attempts, with their times and numbers."""
        cpu = TaskCpu(_TASK_MILLIS, 0.0, _TASK_MILLIS)
        attempts = []
        for kind, share, burst in (
            (_URGENT, load.urgent, load.urgent_burst),
            (_BATCH, load.batch, load.batch_burst),
        ):
            work = kind.mean_tasks * kind.run_s * _TASK_MILLIS
            rate = share * sum(_WORKERS_MILLIS) / work
            at = 0.0
            while at < _ARRIVALS_END_S:
                in_burst = _BURST_S[0] <= at < _BURST_S[1]
                factor = burst if in_burst else 1.0
                at += random.expovariate(rate * factor)
                number = f"{len(attempts):016x}"
                workflow = draw_workflow(
                    kind, cpu, number, EPOCH_S + at, random
                )
                attempts.append((at, 1, workflow))
        return attempts

    def _admit_arrivals(self, now: float) -> None:
        if now >= self._forecast.made_at + _FORECAST_INTERVAL_S:
            self._forecast = self._planner.forecast_room(now, EPOCH_S + now)
        due = [attempt for attempt in self._attempts if attempt[0] <= now]
        self._attempts = [a for a in self._attempts if a[0] > now]
        for _, number, workflow in due:
            self._submit(workflow, number, now)

    def _submit(
        self, workflow: ArrivingWorkflow, number: int, now: float
    ) -> None:
        spec = workflow.spec
        self._arrived[spec.id] = workflow
        refusal = None
        if self._admission:
            age_s = now - self._forecast.made_at
            waited_s = EPOCH_S + now - spec.accepted_at_s
            refusal = find_refusal(spec, self._forecast, age_s, waited_s)
        if refusal is None:
            self._refused_at.pop(spec.id, None)
            self._planner.admit(spec, stored=True)
            return
        self.refusal_count += 1
        self._refused_at[spec.id] = now
        back_at = now + retry_after_s(spec.id, refusal)
        if number < _MAX_ATTEMPTS and refusal.latest_start_s > 0:
            self._attempts.append((back_at, number + 1, workflow))

    def _summarize(self, workflows: Sequence[ArrivingWorkflow]) -> Served:
        count = len(workflows)
        of_use = refused = 0
        for workflow in workflows:
            of_use += self._end_s(workflow) <= workflow.spec.useful_duration_s
            refused += workflow.spec.id in self._refused_at
        return Served(of_use / count, refused / count)

    def _end_s(self, workflow: ArrivingWorkflow) -> float:
        """Return the seconds from the first attempt to the end."""
        settled_at = self._settled_at.get(workflow.spec.id, math.inf)
        return EPOCH_S + settled_at - workflow.spec.accepted_at_s
