"""Place of a request in the admission queue."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class QueueTicket:
    """Sorts by urgency, then deadline, then arrival; the first is served.

    :param rank: minus the urgency
    :param deadline: monotonic time in seconds
    :param number: order of arrival
    :param service: name of the service
    """

    rank: int
    deadline: float
    number: int
    service: str
