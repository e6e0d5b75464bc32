"""Requests that wait for room."""

from __future__ import annotations

from bisect import insort
from typing import TYPE_CHECKING

from carawaystep.request.queue_ticket import QueueTicket

if TYPE_CHECKING:
    from carawaystep.document.service_spec import ServiceSpec


class AdmissionQueue:
    """A bounded queue that sheds the least urgent requests first."""

    def __init__(self, limit: int) -> None:
        """Create an empty queue.

        :param limit: requests that may wait, of all services together
        """
        self._limit = limit
        self._tickets: list[QueueTicket] = []
        self._by_service: dict[str, int] = {}
        self._arrivals = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._tickets)

    @property
    def head(self) -> QueueTicket | None:
        """Return the ticket to be served next."""
        return self._tickets[0] if self._tickets else None

    def ticket(self, spec: ServiceSpec, deadline: float) -> QueueTicket:
        """Return a ticket for a request that arrives now."""
        self._arrivals += 1
        return QueueTicket(
            -spec.urgency, deadline, self._arrivals, spec.service
        )

    def offer(
        self, ticket: QueueTicket, service_limit: int
    ) -> QueueTicket | None:
        """Add a ticket.

        :param ticket: the arriving request
        :param service_limit: requests of its service that may wait
        :returns: the ticket that is shed, which may be the offered one
        """
        if self._by_service.get(ticket.service, 0) >= service_limit:
            return ticket
        insort(self._tickets, ticket)
        self._count(ticket, 1)
        if len(self._tickets) <= self._limit:
            return None
        shed = self._tickets.pop()
        self._count(shed, -1)
        return shed

    def remove(self, ticket: QueueTicket) -> bool:
        """Remove a ticket that was served, or whose deadline has passed.

        :returns: False when it was not waiting
        """
        try:
            self._tickets.remove(ticket)
        except ValueError:
            return False
        self._count(ticket, -1)
        return True

    def _count(self, ticket: QueueTicket, change: int) -> None:
        left = self._by_service.get(ticket.service, 0) + change
        if left:
            self._by_service[ticket.service] = left
        else:
            self._by_service.pop(ticket.service, None)
