"""Answer of a worker to a fence."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.worker.capacity import Capacity
    from carawaystep.worker.reservation import Reservation


@dataclass(frozen=True, slots=True)
class FenceAnswer:
    """State of the worker once it has accepted an epoch.

    :param epoch: accepted epoch
    :param guards: True when the worker refuses lower epochs
    :param leaving: True when the worker leaves the fleet
    :param capacity: limits of the worker
    :param running: everything that it runs, for earlier owners too
    :param sequence: number of the last event before the fence
    :param clock_s: the worker's own monotonic clock at the fence, seconds
    """

    epoch: int
    guards: bool
    leaving: bool
    capacity: Capacity
    running: tuple[Reservation, ...]
    sequence: int
    clock_s: float
