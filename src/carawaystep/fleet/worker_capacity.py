"""Amounts of processor, memory and accelerators."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkerCapacity:
    """What a worker has or a task takes.

    :param cpu_millis: thousandths of a core
    :param memory_mb: memory
    :param accelerators: whole accelerators
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
