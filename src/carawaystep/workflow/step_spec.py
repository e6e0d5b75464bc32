"""What a step of a workflow asks for."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StepSpec:
    """One step: tasks that are alike.

    :param count: number of tasks
    :param cpu_millis: processor of one task, thousandths of a core
    :param memory_mb: memory of one task
    :param accelerators: whole accelerators of one task
    :param estimated_s: declared run time, often far off
    :param after: numbers of the steps that must be done first
    :param checkpointing: whether a task can resume from a checkpoint
    :param gang: whether the tasks only work together
    :param same_rack: whether the tasks slow down when spread over racks
    :param label: label that the worker must have, empty for any
    :param rack: rack that holds the data, empty for none
    :param max_per_worker: tasks of the step on one worker, 0 for no limit
    :param speculative: whether copies of a task may run in parallel
    :param long_running: whether tasks run until the workflow is cancelled
    :param image: what the tasks run; tasks of one image behave alike
    :param tail_target_ms: limit of the tail latency of a serving task
    :param fills: whether the tasks take only processor left by others
    :param max_unavailable: long-running tasks that planned actions may keep
        away at the same time, 0 when the step states none
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
