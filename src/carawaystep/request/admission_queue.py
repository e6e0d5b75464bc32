"""Queue of the requests that wait for worker capacity."""

from __future__ import annotations

from bisect import insort
from typing import TYPE_CHECKING

from carawaystep.request.queue_ticket import QueueTicket

if TYPE_CHECKING:
    from carawaystep.document.service_spec import ServiceSpec


class AdmissionQueue:
    """A queue bounded in total and for each service.

    Over the total limit it sheds the ticket that sorts last. Over the limit
    of a service it sheds the arriving ticket.
    """

    def __init__(self, limit: int) -> None:
        """Create an empty queue.

        :param limit: maximum number of waiting requests over all services
        """
        self._limit = limit
        self._tickets: list[QueueTicket] = []
        self._count_by_service: dict[str, int] = {}
        self._arrival_count = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._tickets)

    @property
    def head(self) -> QueueTicket | None:
        """Return the next ticket to serve, None if the queue is empty."""
        return self._tickets[0] if self._tickets else None

    def create_ticket(self, spec: ServiceSpec, deadline: float) -> QueueTicket:
        """Create a ticket for a request that arrives now.

        The ticket is not queued until it is passed to ``offer``.

        :param spec: spec of the request's service
        :param deadline: monotonic time in seconds
        """
        self._arrival_count += 1
        return QueueTicket(
            -spec.urgency, deadline, self._arrival_count, spec.service
        )

    def offer(
        self, ticket: QueueTicket, service_limit: int
    ) -> QueueTicket | None:
        """Add a ticket, or shed one.

        Sheds the offered ticket if its service already has ``service_limit``
        tickets, else the last ticket if the queue is full.

        :param ticket: ticket of the arriving request
        :param service_limit: maximum number of waiting requests of its
            service
        :returns: the shed ticket, possibly the offered one, or None
        """
        if self._count_by_service.get(ticket.service, 0) >= service_limit:
            return ticket
        insort(self._tickets, ticket)
        self._add_to_service_count(ticket, 1)
        if len(self._tickets) <= self._limit:
            return None
        shed = self._tickets.pop()
        self._add_to_service_count(shed, -1)
        return shed

    def remove(self, ticket: QueueTicket) -> bool:
        """Remove a ticket that was served or whose deadline has passed.

        :returns: False if it was not in the queue
        """
        try:
            self._tickets.remove(ticket)
        except ValueError:
            return False
        self._add_to_service_count(ticket, -1)
        return True

    def _add_to_service_count(self, ticket: QueueTicket, delta: int) -> None:
        waiting = self._count_by_service.get(ticket.service, 0) + delta
        if waiting:
            self._count_by_service[ticket.service] = waiting
        else:
            self._count_by_service.pop(ticket.service, None)
