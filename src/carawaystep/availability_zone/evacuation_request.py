"""The operator's request to evacuate an availability zone."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EvacuationRequest:
    """One version of the request for one availability zone.

    :param availability_zone: name of the availability zone
    :param revision: position of the write in the order of all writes
    :param withdrawn: whether the request was removed, so that the zone gets
        work again
    """

    availability_zone: str
    revision: int
    withdrawn: bool = False
