"""Capacity of a worker."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkerCapacity:
    """Resources that a worker has for tasks.

    :param cpu_millis: CPU in thousandths of a core
    :param memory_mb: memory in MB
    :param accelerators: number of whole accelerators
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
