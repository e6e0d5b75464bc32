"""Sort key of a request in the admission queue."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class QueueTicket:
    """Position of a request by urgency, deadline and arrival.

    The smallest ticket is served first. Every request has a ticket, except
    those forwarded by a peer; it is in the queue only while the request waits.

    :param negated_urgency: urgency times -1, so that the highest sorts first
    :param deadline: monotonic time in seconds
    :param arrival_number: sequence number in order of arrival
    :param service: name of the service
    """

    negated_urgency: int
    deadline: float
    arrival_number: int
    service: str
