"""A worker that a configuration is checked against."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.fleet.worker_capacity import WorkerCapacity


@dataclass(frozen=True, slots=True)
class FleetWorker:
    """A worker that takes new work.

    :param service: service whose tasks it runs, empty when it runs all
    :param labels: labels that tasks may require
    :param capacity: resources for tasks
    """

    service: str
    labels: frozenset[str]
    capacity: WorkerCapacity
