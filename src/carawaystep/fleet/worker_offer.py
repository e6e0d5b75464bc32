"""A worker as the platform lists it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.fleet.worker_capacity import WorkerCapacity
    from carawaystep.fleet.worker_key import WorkerKey


@dataclass(frozen=True, slots=True)
class WorkerOffer:
    """One entry of the list of workers.

    :param key: lifetime of the worker
    :param service: service whose tasks it runs
    :param address: IP address and port
    :param availability_zone: name of its availability zone
    :param rack: name of its rack, empty when unknown
    :param labels: labels that steps may require
    :param capacity: what it has
    :param draining: whether it is about to leave
    """

    key: WorkerKey
    service: str
    address: str
    availability_zone: str
    rack: str
    labels: frozenset[str]
    capacity: WorkerCapacity
    draining: bool
