"""Reservation of a worker's capacity."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.worker.resources import Resources
    from carawaystep.worker.work_kind import WorkKind


@dataclass(frozen=True, slots=True)
class Reservation:
    """Capacity reserved for one execution until its end is certain.

    :param id: dispatch id of a request, or job id of a task
    :param kind: request or task
    :param attempt: attempt number of a task, 0 for a request
    :param needs: reserved resources, in addition to one slot
    """

    id: str
    kind: WorkKind
    attempt: int
    needs: Resources
