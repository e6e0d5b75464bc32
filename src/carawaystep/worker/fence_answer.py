"""Answer of a worker to a fence call."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.worker.capacity import Capacity
    from carawaystep.worker.reservation import Reservation


@dataclass(frozen=True, slots=True)
class FenceAnswer:
    """State of the worker when it accepted a fencing token.

    :param token: accepted fencing token
    :param guards: True if the worker refuses calls with lower tokens
    :param leaving: True if the worker is leaving the fleet
    :param capacity: limits of the worker
    :param running: all running executions, those of earlier owners included
    :param sequence: sequence number of the last event before the fence
    :param clock_s: the worker's monotonic clock at the fence, seconds
    """

    token: int
    guards: bool
    leaving: bool
    capacity: Capacity
    running: tuple[Reservation, ...]
    sequence: int
    clock_s: float
