"""Specification of a step of a workflow."""

from __future__ import annotations

from dataclasses import dataclass

MILLIS_PER_CORE = 1000


@dataclass(frozen=True, slots=True)
class StepSpec:
    """One step of a workflow, with identical tasks.

    :param count: number of tasks
    :param cpu_millis: CPU of one task, thousandths of a core
    :param memory_mb: memory of one task in MB
    :param accelerators: number of whole accelerators of one task
    :param estimated_s: declared run time in seconds, often far off
    :param after: numbers of the steps that must be done first
    :param checkpointing: whether a task can resume from a checkpoint
    :param gang: whether the tasks must run at the same time
    :param same_rack: whether the tasks slow down when spread over racks
    :param label: label that the worker must have, empty for any
    :param rack: rack that holds the data, empty for none
    :param max_per_worker: maximum number of tasks of the step on one worker,
        0 for no limit
    :param speculative: whether copies of a task may run in parallel;
        accepted, but not used by the planner
    :param long_running: whether tasks run until the workflow is cancelled
    :param image: program of the tasks; tasks of one image behave alike
    :param tail_target_ms: target of the tail latency of a serving task, 0
        for other tasks
    :param fills: whether the tasks are best-effort: they use only CPU that
        other tasks leave idle
    :param max_unavailable: maximum number of long-running tasks that planned
        actions may interrupt at the same time, 0 when the caller gave no
        number; accepted, but not enforced
    """

    count: int
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimated_s: float = 0.0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    tail_target_ms: float = 0.0
    fills: bool = False
    max_unavailable: int = 0

    @property
    def task_cpu_s(self) -> float:
        """Return the declared CPU time of a task, seconds of one core."""
        return self.cpu_millis * self.estimated_s / MILLIS_PER_CORE

    def needs_at_least(self, other: StepSpec) -> bool:
        """Tell whether a task needs no less of any resource than another."""
        return (
            self.cpu_millis >= other.cpu_millis
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )
