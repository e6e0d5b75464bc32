"""What a worker holds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.worker.resources import Resources


@dataclass(frozen=True, slots=True)
class Capacity:
    """Limits of a worker, as it reported them.

    :param resources: processors, memory and accelerators
    :param slots: executions at one time
    :param connections: open connections at one time
    """

    resources: Resources
    slots: int
    connections: int
