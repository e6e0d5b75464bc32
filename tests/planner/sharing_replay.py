"""Replay of best-effort work beside serving tasks whose own load swings.

Some pairs of images harm each other plainly, the others not at all. Reports
and stops take as long as those of real workers, so that tails show harm for
a while after its cause was stopped.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
import math
from random import Random
from typing import TYPE_CHECKING

from carawaystep.fleet.order import PaceOrder
from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.order import StopOrder
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.fleet.worker_report import EndedRun
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.step_spec import StepSpec
from tests.planner.planners import new_planner
from tests.planner.planners import report
from tests.planner.planners import running
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from carawaystep.fleet.order import Order

_TICK_S = 0.1
_REPORT_TICKS = 7
_TAIL_TICKS = 5
_ARRIVAL_TICKS = 8
_STOP_S = 0.4
_RUN_S = 2.3
_TASKS = 10
_HARM_FACTOR = 6.0
_EPOCH_S = 2000.0
_TARGET_MS = 100.0
_LOAD_PERIOD_S = 20.0


@dataclass(frozen=True, slots=True)
class SharingSettings:
    """Workers and images of a replay.

    :param own_tail_ms: mean tail of the serving tasks by their own load
    :param own_swing: part of it by which their load moves it up and down
    :param harmful_share: share of the pairs of images that harm
    """

    own_tail_ms: float
    own_swing: float
    harmful_share: float
    workers: int = 16
    serving_images: int = 5
    best_effort_images: int = 8
    seconds: float = 40.0


@dataclass(slots=True)
class SharingResult:
    """What a replay has shown.

    :param done: best-effort runs that ended as done
    :param stopped: best-effort runs that were stopped
    :param longest_harm_s: longest time on end for which a serving task was
        over its target by the doing of others
    :param harm_s: sum of such times
    """

    done: int = 0
    stopped: int = 0
    longest_harm_s: float = 0.0
    harm_s: float = 0.0


@dataclass(slots=True)
class _Run:
    start: StartOrder
    image: str
    left_s: float = _RUN_S
    pace: float = 1.0
    ends_at: float = math.inf


@dataclass(slots=True)
class _Worker:
    """A simulated worker with one serving task.

    :param phase: phase of its load, as a share of the period
    """

    phase: float
    serving: StartOrder | None = None
    image: str = ""
    runs: list[_Run] = field(default_factory=list)
    ended: list[EndedRun] = field(default_factory=list)
    end_count: int = 0
    harm_s: float = 0.0
    tails_ms: deque[float] = field(
        default_factory=lambda: deque([0.0], maxlen=_TAIL_TICKS)
    )


class SharingReplay:
    """One replay, which is reproducible by its seed."""

    def __init__(self, settings: SharingSettings, seed: int) -> None:
        """Start the serving tasks, one on each worker."""
        self._settings = settings
        random = Random(seed)
        self._result = SharingResult()
        self._serving = [f"s{n}" for n in range(settings.serving_images)]
        self._images = [f"b{n}" for n in range(settings.best_effort_images)]
        self._harmful = {
            (image, serving)
            for image in self._images
            for serving in self._serving
            if random.random() < settings.harmful_share
        }
        self._random = random
        self._workers = {
            f"w{n}": _Worker(random.random()) for n in range(settings.workers)
        }
        self._planner = new_planner()
        self._planner.update_worker_list(
            [
                worker_record(name, cpu_millis=16_000, memory_mb=64_000)
                for name in self._workers
            ],
            0.0,
        )
        for name in self._workers:
            self._planner.handle_report(report(name), 0.0)
        for number in range(settings.workers):
            image = self._serving[number % len(self._serving)]
            self._admit(f"{number:016x}", _serving_step(image))
            self._plan(0.0)

    def run(self) -> SharingResult:
        """Replay all arrivals."""
        for tick in range(round(self._settings.seconds / _TICK_S)):
            now = tick * _TICK_S
            if tick % _ARRIVAL_TICKS == 0:
                image = self._random.choice(self._images)
                self._admit(f"{tick:08x}" * 2 + "b", _best_effort_step(image))
            for number, (name, worker) in enumerate(self._workers.items()):
                self._advance(worker, now)
                if (tick + number) % _REPORT_TICKS == 0:
                    self._report(name, worker, now)
            self._plan(now)
            for order in self._planner.take_immediate_orders():
                self._execute(order, now)
        return self._result

    def _admit(self, workflow_id: str, step: StepSpec) -> None:
        spec = workflow_spec(
            step,
            id=workflow_id,
            accepted_at_s=_EPOCH_S,
            objective_s=60.0,
        )
        self._planner.admit(spec, stored=True)

    def _plan(self, now: float) -> None:
        while self._planner.plan(now, _EPOCH_S + now):
            pass
        for order in self._planner.take_changes().orders:
            if isinstance(order, StartOrder):
                self._start(order, now)

    def _start(self, order: StartOrder, now: float) -> None:
        tracked = next(
            worker.runs[order.ref]
            for key, worker in self._planner.workers.items()
            if key == order.worker
        )
        worker = self._workers[order.worker.id]
        if tracked.step.fills:
            worker.runs.append(_Run(order, tracked.step.image))
        else:
            worker.serving = order
            worker.image = tracked.step.image
        self._planner.handle_order_outcome(order, OrderOutcome.DONE, now)

    def _execute(self, order: Order, now: float) -> None:
        worker = self._workers[order.worker.id]
        for run in worker.runs:
            if run.start.ref != order.ref:
                continue
            if isinstance(order, PaceOrder):
                run.pace = order.pace_percent / 100
            elif isinstance(order, StopOrder):
                run.ends_at = min(run.ends_at, now + _STOP_S)

    def _advance(self, worker: _Worker, now: float) -> None:
        """Let the runs of a worker work for one tick."""
        own_ms = self._own_tail_ms(worker, now)
        tail_ms = own_ms
        for run in list(worker.runs):
            run.left_s -= _TICK_S * run.pace
            if (run.image, worker.image) in self._harmful:
                tail_ms += own_ms * (_HARM_FACTOR - 1.0) * run.pace
            if run.left_s <= 0:
                self._end(worker, run, RunEnd.DONE)
            elif run.ends_at <= now:
                self._end(worker, run, RunEnd.STOPPED)
        worker.tails_ms.append(tail_ms)
        harmed = own_ms <= _TARGET_MS < tail_ms
        worker.harm_s = worker.harm_s + _TICK_S if harmed else 0.0
        self._result.harm_s += _TICK_S if harmed else 0.0
        self._result.longest_harm_s = max(
            self._result.longest_harm_s, worker.harm_s
        )

    def _own_tail_ms(self, worker: _Worker, now: float) -> float:
        angle = 2 * math.pi * (now / _LOAD_PERIOD_S + worker.phase)
        swing = 1.0 + self._settings.own_swing * math.sin(angle)
        return self._settings.own_tail_ms * swing

    def _end(self, worker: _Worker, run: _Run, end: RunEnd) -> None:
        worker.runs.remove(run)
        worker.end_count += 1
        worker.ended.append(
            EndedRun(worker.end_count, run.start.ref, run.start.run, end, "")
        )
        if end is RunEnd.DONE:
            self._result.done += 1
            return
        self._result.stopped += 1

    def _report(self, name: str, worker: _Worker, now: float) -> None:
        runs = [
            running(run.start, 100.0 * (1.0 - run.left_s / _RUN_S))
            for run in worker.runs
        ]
        if worker.serving is not None:
            runs.append(running(worker.serving, 100.0, max(worker.tails_ms)))
        ended, worker.ended = worker.ended, []
        self._planner.handle_report(report(name, runs, ended), now)


def _serving_step(image: str) -> StepSpec:
    return StepSpec(
        1,
        cpu_millis=10_000,
        memory_mb=100,
        long_running=True,
        image=image,
        tail_target_ms=_TARGET_MS,
    )


def _best_effort_step(image: str) -> StepSpec:
    return StepSpec(
        _TASKS,
        cpu_millis=1800,
        memory_mb=100,
        estimated_s=_RUN_S,
        fills=True,
        image=image,
    )
