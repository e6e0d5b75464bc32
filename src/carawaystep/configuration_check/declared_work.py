"""Work as its author declares it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.fleet.worker_capacity import WorkerCapacity


@dataclass(frozen=True, slots=True)
class DeclaredTask:
    """What one task needs of a worker.

    :param needs: resources that it takes from the worker's capacity
    :param label: label that the worker must have, empty for any
    """

    needs: WorkerCapacity
    label: str = ""


@dataclass(frozen=True, slots=True)
class DeclaredWork:
    """Work of one kind, such as the jobs of a service or a workflow.

    :param service: service whose workers run it, empty when all workers do
    :param tasks: one task for each step
    :param run_s: declared run time in seconds, 0 when none is declared
    :param due_s: seconds from the start of its time until it is to end, None
        when it has no deadline
    """

    service: str
    tasks: tuple[DeclaredTask, ...]
    run_s: float = 0.0
    due_s: float | None = None
