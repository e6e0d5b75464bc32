"""Record of a worker in the platform's list."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.fleet.worker_capacity import WorkerCapacity
    from carawaystep.fleet.worker_key import WorkerKey


@dataclass(frozen=True, slots=True)
class WorkerRecord:
    """A worker as the platform lists it.

    :param key: lifetime of the worker
    :param service: service whose tasks it runs
    :param address: IP address and port, as ``ADDRESS:PORT``
    :param availability_zone: name of its availability zone
    :param rack: name of its rack, empty when unknown
    :param labels: labels that steps may require
    :param capacity: resources for tasks
    :param draining: whether it will leave and gets no new work
    :param cold_s: seconds for which it is still slow after its start
    """

    key: WorkerKey
    service: str
    address: str
    availability_zone: str
    rack: str
    labels: frozenset[str]
    capacity: WorkerCapacity
    draining: bool
    cold_s: float = 0.0
