"""Capacity of a worker."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.worker.resources import Resources


@dataclass(frozen=True, slots=True)
class Capacity:
    """Limits of a worker, as reported by it.

    :param resources: cores, memory and accelerators
    :param slots: maximum number of concurrent executions
    :param connections: maximum number of open connections
    """

    resources: Resources
    slots: int
    connections: int
