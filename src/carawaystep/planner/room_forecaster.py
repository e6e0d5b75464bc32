"""Forecast of room from the accepted work and the workers."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from math import inf
from typing import TYPE_CHECKING

from carawaystep.planner.room_forecast import LaneForecast
from carawaystep.planner.room_forecast import RoomForecast
from carawaystep.workflow.urgency import UrgencyStage

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from carawaystep.fleet.tracked_run import TrackedRun
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.planner.run_time_ratios import RunTimeRatios
    from carawaystep.planner.workflow_registry import WorkflowRegistry
    from carawaystep.workflow.step_spec import StepSpec
    from carawaystep.workflow.workflow import Workflow

# Bounds the size of the message; the most urgent priorities are kept.
_MAX_LANES = 32


@dataclass(frozen=True, slots=True)
class _Demand:
    """Work of accepted tasks that run or could run now.

    :param priority: priority of its workflow
    :param best_effort: whether it uses only idle CPU
    :param count: number of tasks
    :param cpu_millis: CPU of one task, thousandths of a core
    :param run_s: run time that one task still takes, seconds
    :param useful_for_s: seconds for which its result can still be of use
    :param before_equals: whether it goes before new work of its priority
    """

    priority: int
    best_effort: bool
    count: int
    cpu_millis: int
    run_s: float
    useful_for_s: float
    before_equals: bool

    @property
    def work(self) -> float:
        """Return the CPU time in thousandths of core-seconds."""
        return self.count * self.cpu_millis * self.run_s


@dataclass(slots=True)
class _ServiceLoad:
    """Workers and accepted work of one service.

    :param cpu_millis: CPU of the workers
    :param idle_cpu_millis: CPU for best-effort tasks, if they alone ran
        beside the long-running ones
    :param lasting_cpu_millis: CPU that long-running tasks reserve, by
        priority
    :param running: what is left of runs
    :param waiting: tasks without a run
    """

    cpu_millis: int = 0
    idle_cpu_millis: float = 0.0
    lasting_cpu_millis: Counter[int] = field(default_factory=Counter)
    running: list[_Demand] = field(default_factory=list)
    waiting: list[_Demand] = field(default_factory=list)


class RoomForecaster:
    """Finds before when no further submission can surely start.

    It counts only work that goes before any new submission of a priority:
    that of higher ones, and what is left of started workflows. Of this it
    counts the tasks that could run now, wherever there is room, and a run
    time that they surely exceed on average. What will become ready later,
    is bound to certain workers or can be of no more use counts nothing, and
    neither do limits other than that of the CPU.
    """

    def __init__(
        self, registry: WorkflowRegistry, run_times: RunTimeRatios
    ) -> None:
        """Create a forecaster.

        :param registry: the accepted workflows
        :param run_times: run times of ended tasks
        """
        self._registry = registry
        self._run_times = run_times

    def forecast(
        self, workers: Iterable[TrackedWorker], now: float, wall_now: float
    ) -> RoomForecast:
        """Return the forecast for all services.

        Silent workers count as well, because they may come back.

        :param workers: workers that are listed or may still have runs
        :param now: current time, seconds of a monotonic clock
        :param wall_now: current wall-clock time in seconds
        """
        waiting = self._registry.with_tasks_to_place()
        if not waiting:
            return RoomForecast(now)
        loads: dict[str, _ServiceLoad] = {}
        for worker in workers:
            if worker.listed and not worker.leaving:
                load = loads.setdefault(worker.record.service, _ServiceLoad())
                self._add_worker(load, worker)
        for workflow in waiting:
            waiting_load = loads.get(workflow.spec.service)
            if waiting_load is not None:
                demands = self._waiting_demands(workflow, wall_now)
                waiting_load.waiting.extend(demands)
        lanes = [
            lane
            for service, load in loads.items()
            for lane in _lanes(service, load)
        ]
        if not lanes:
            return RoomForecast(now)
        lanes.sort(key=lambda lane: lane.priority)
        return RoomForecast(
            now, tuple(lanes[:_MAX_LANES]), self._run_times.all_shortest()
        )

    def _add_worker(self, load: _ServiceLoad, worker: TrackedWorker) -> None:
        load.cpu_millis += worker.record.capacity.cpu_millis
        idle_cpu_millis = worker.estimated_spare_cpu_millis
        for ref, tracked in worker.runs.items():
            step = tracked.step
            if step.fills:
                paced_millis = step.cpu_millis * tracked.pace_percent / 100
                idle_cpu_millis += paced_millis
            elif step.long_running:
                load.lasting_cpu_millis[tracked.priority] += step.cpu_millis
            else:
                idle_cpu_millis += step.cpu_millis
            if not step.long_running:
                workflow = self._registry.get(ref.workflow)
                load.running.append(self._running_demand(tracked, workflow))
        load.idle_cpu_millis += max(idle_cpu_millis, 0.0)

    def _running_demand(
        self, tracked: TrackedRun, workflow: Workflow | None
    ) -> _Demand:
        """Return what a run still takes at least, 0 if it may not exist."""
        step = tracked.step
        run_s = 0.0
        certain = not (
            tracked.stopping or tracked.inherited or tracked.in_doubt
        )
        if certain and workflow is not None and not workflow.ended:
            left = 1.0 - min(tracked.progress_percent, 100.0) / 100
            ratio = self._run_times.typical(workflow.spec.queue)
            run_s = left * ratio * step.estimated_s
        return _Demand(
            tracked.priority, step.fills, 1, step.cpu_millis, run_s, inf, True
        )

    def _waiting_demands(
        self, workflow: Workflow, wall_now: float
    ) -> Iterator[_Demand]:
        """Return the demands of the ready tasks that any worker could run."""
        spec = workflow.spec
        if spec.long_running or spec.scheduled or spec.permit_s:
            return
        useful_until_s = spec.accepted_at_s + spec.useful_duration_s
        if useful_until_s <= wall_now:
            return
        stage = workflow.urgency(wall_now).stage
        ratio = self._run_times.typical(spec.queue)
        for number, count in workflow.ready_counts(wall_now):
            step = spec.steps[number]
            if not count or _is_constrained(step):
                continue
            yield _Demand(
                spec.priority,
                step.fills,
                count,
                step.cpu_millis,
                step.estimated_s * ratio,
                min(useful_until_s - wall_now, spec.useful_duration_s),
                stage is UrgencyStage.STARTED,
            )


def _goes_before(demand: _Demand, priority: int) -> bool:
    """Tell whether work goes before any new work of a priority."""
    if demand.priority == priority:
        return demand.before_equals
    return demand.priority < priority


def _is_constrained(step: StepSpec) -> bool:
    """Tell whether a task may have to wait while workers have CPU left."""
    return bool(
        step.gang or step.label or step.max_per_worker or step.accelerators
    )


def _lanes(service: str, load: _ServiceLoad) -> Iterator[LaneForecast]:
    """Return the lanes of a service that have no room, by priority."""
    waiting = {demand.priority for demand in load.waiting}
    # What waits at a priority goes before all new work of the next one.
    for priority in sorted(waiting | {number + 1 for number in waiting}):
        ahead = [d for d in load.waiting if _goes_before(d, priority)]
        for best_effort in (False, True):
            same_kind = [d for d in ahead if d.best_effort == best_effort]
            if not same_kind:
                continue
            # Best-effort tasks take what the others leave.
            counted = ahead if best_effort else same_kind
            room_from_s = _last_start_s(
                counted,
                _runs_kept(load, priority, best_effort),
                _cpu_millis(load, priority, best_effort),
            )
            if room_from_s > 0:
                largest = max(demand.cpu_millis for demand in counted)
                yield LaneForecast(
                    service, priority, best_effort, room_from_s, largest
                )


def _cpu_millis(load: _ServiceLoad, priority: int, best_effort: bool) -> float:
    """Return the CPU that tasks of a priority may get at most."""
    if best_effort:
        return load.idle_cpu_millis
    lasting_millis = sum(
        cpu_millis
        for lasting_priority, cpu_millis in load.lasting_cpu_millis.items()
        if lasting_priority <= priority
    )
    return load.cpu_millis - lasting_millis


def _runs_kept(
    load: _ServiceLoad, priority: int, best_effort: bool
) -> list[_Demand]:
    """Return the runs that a priority does not displace."""
    return [
        run
        for run in load.running
        if run.priority <= priority and (best_effort or not run.best_effort)
    ]


def _last_start_s(
    waiting: list[_Demand], running: list[_Demand], cpu_millis: float
) -> float:
    """Return when the last of the waiting tasks starts at the earliest.

    Whatever their order is, only those must have started that are still of
    use by then. At the last start, the longest tasks may be running on all
    of the CPU.

    :returns: seconds, 0 if there may be CPU left
    """
    if cpu_millis <= 0:
        return 0.0
    longest_work = _longest_work(waiting, cpu_millis)
    # Runs that are longer than what waits may go on after the last start.
    going_on_work = _longest_work(waiting + running, cpu_millis) - longest_work
    run_work = sum(run.work for run in running) - going_on_work
    done_s = run_work / cpu_millis
    busy_s = inf
    for demand in sorted(waiting, key=lambda demand: -demand.useful_for_s):
        busy_s = min(busy_s, max(done_s, demand.useful_for_s))
        done_s += demand.work / cpu_millis
    busy_s = min(busy_s, done_s)
    return max(0.0, busy_s - longest_work / cpu_millis)


def _longest_work(demands: list[_Demand], cpu_millis: float) -> float:
    """Return the work of the longest tasks that fit on the CPU together."""
    work = 0.0
    for demand in sorted(demands, key=lambda demand: -demand.run_s):
        taken_millis = min(demand.count * demand.cpu_millis, cpu_millis)
        work += taken_millis * demand.run_s
        cpu_millis -= taken_millis
        if cpu_millis <= 0:
            break
    return work
