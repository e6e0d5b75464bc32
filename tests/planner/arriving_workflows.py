"""Workflows of random sizes for the overload simulation."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
import math
from typing import TYPE_CHECKING

from carawaystep.workflow.step_spec import StepSpec
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from random import Random

    from carawaystep.workflow.workflow_spec import WorkflowSpec

# Callers have no use for a result after this multiple of the target duration.
_USEFUL_TARGET_DURATIONS = 3.0


@dataclass(frozen=True, slots=True)
class WorkflowKind:
    """Sizes, run times and targets of one kind of workflow.

    :param mean_steps: mean number of chained steps before rounding
    :param steps_deviation: standard deviation of that number
    :param max_steps: maximum number of steps
    :param mean_width: mean number of tasks of a step before rounding
    :param width_spread: sigma of that log-normal number
    :param max_width: maximum number of tasks of a step
    :param mean_tasks: mean number of tasks of a workflow
    :param run_s: mean run time of a task in seconds
    :param target_s: constant part of the target duration in seconds
    :param stretch: factor on the critical path in the target duration
    :param priority: priority of the workflows, 0 is the highest
    :param run_spread: sigma of the log-normal run time of a step's tasks
    :param max_run_s: maximum of that run time in seconds
    :param estimate_spread: sigma of the log-normal ratio of the declared run
        time to the real one
    :param best_effort: whether the tasks use only CPU that others leave idle
    """

    mean_steps: float
    steps_deviation: float
    max_steps: int
    mean_width: float
    width_spread: float
    max_width: int
    mean_tasks: float
    run_s: float
    target_s: float
    stretch: float
    priority: int = 0
    run_spread: float = 0.0
    max_run_s: float = math.inf
    estimate_spread: float = 0.0
    best_effort: bool = False


BOOKINGS = WorkflowKind(
    mean_steps=1.6,
    steps_deviation=0.64,
    max_steps=4,
    mean_width=9.5,
    width_spread=0.7,
    max_width=57,
    mean_tasks=15.2,
    run_s=0.8,
    target_s=0.25,
    stretch=1.5,
)
SCANS = replace(
    BOOKINGS,
    width_spread=0.8,
    run_s=0.54,
    target_s=0.3,
    run_spread=0.5,
    max_run_s=5.8,
    estimate_spread=0.5,
)
ROUTE_PLANS = WorkflowKind(
    mean_steps=2.0,
    steps_deviation=0.8,
    max_steps=5,
    mean_width=20.0,
    width_spread=0.6,
    max_width=80,
    mean_tasks=40.0,
    run_s=2.2,
    target_s=1.0,
    stretch=2.0,
    priority=2,
    run_spread=0.5,
    max_run_s=5.4,
    estimate_spread=0.8,
    best_effort=True,
)


@dataclass(frozen=True, slots=True)
class TaskCpu:
    """CPU of the tasks, thousandths of a core.

    :param mean_millis: mean of a step's tasks
    :param spread: sigma of the log-normal CPU of a step's tasks
    :param max_millis: maximum, which some worker has
    """

    mean_millis: int
    spread: float
    max_millis: int


@dataclass(frozen=True, slots=True)
class ArrivingWorkflow:
    """A submission and what its caller does not know.

    :param spec: the submission
    :param run_s: real run time of the tasks of each step in seconds
    """

    spec: WorkflowSpec
    run_s: tuple[float, ...]

    @property
    def work(self) -> float:
        """Return the CPU time that it takes, thousandths of core-seconds."""
        return sum(
            step.count * step.cpu_millis * run_s
            for step, run_s in zip(self.spec.steps, self.run_s, strict=True)
        )

    @property
    def deadline(self) -> float:
        """Return the wall-clock time by which it is to end."""
        return self.spec.accepted_at_s + self._target_s

    @property
    def useful_until(self) -> float:
        """Return the wall-clock time up to which its end is of use."""
        useful_s = _USEFUL_TARGET_DURATIONS * self._target_s
        return self.spec.accepted_at_s + useful_s

    @property
    def _target_s(self) -> float:
        return self.spec.objective_s + self.spec.stretch * sum(self.run_s)


def draw_workflow(
    kind: WorkflowKind,
    cpu: TaskCpu,
    workflow_id: str,
    accepted_at_s: float,
    random: Random,
) -> ArrivingWorkflow:
    """Return a workflow of random size.

    :param accepted_at_s: wall-clock time of its acceptance in seconds
    :param random: source of all draws
    """
    steps = round(random.gauss(kind.mean_steps, kind.steps_deviation))
    steps = min(max(steps, 1), kind.max_steps)
    width = round(kind.mean_width * _draw_factor(kind.width_spread, random))
    width = min(max(width, 1), kind.max_width)
    run_s = tuple(_draw_run_s(kind, random) for _ in range(steps))
    spec = workflow_spec(
        *(
            StepSpec(
                width,
                cpu_millis=_draw_cpu_millis(cpu, random),
                memory_mb=1,
                estimated_s=step_s
                * _draw_factor(kind.estimate_spread, random),
                after=(number - 1,) if number else (),
                fills=kind.best_effort,
            )
            for number, step_s in enumerate(run_s)
        ),
        id=workflow_id,
        accepted_at_s=accepted_at_s,
        priority=kind.priority,
        stretch=kind.stretch,
        objective_s=kind.target_s,
    )
    return ArrivingWorkflow(spec, run_s)


def _draw_run_s(kind: WorkflowKind, random: Random) -> float:
    run_s = kind.run_s * _draw_factor(kind.run_spread, random)
    return min(run_s, kind.max_run_s)


def _draw_cpu_millis(cpu: TaskCpu, random: Random) -> int:
    factor = math.exp(random.gauss(-cpu.spread * cpu.spread / 2, cpu.spread))
    return min(round(cpu.mean_millis * factor), cpu.max_millis)


def _draw_factor(sigma: float, random: Random) -> float:
    """Return a log-normal factor with mean 1; without sigma, draw nothing."""
    if not sigma:
        return 1.0
    return math.exp(random.gauss(-sigma * sigma / 2, sigma))
