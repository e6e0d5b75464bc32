"""Change of what is known of an availability zone's evacuation."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EvacuationChange:
    """Begin or end of an evacuation.

    :param availability_zone: name of the availability zone
    :param evacuated: whether the evacuation begins
    :param revision: revision of the request that began or ended it; that of
        the read if the request was missing
    :param lasted_s: seconds for which an evacuation that ends was known
    """

    availability_zone: str
    evacuated: bool
    revision: int
    lasted_s: float = 0.0
