"""Terms on which the placement service gives tickets for a queue."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TicketTerms:
    """Validity of the tickets, and response times of the service.

    :param validity_s: seconds for which a ticket is valid
    :param decision_s: seconds that a response takes, apart from
        ``per_worker_s``
    :param per_worker_s: additional seconds for each worker in the request
    """

    validity_s: float
    decision_s: float = 0.0
    per_worker_s: float = 0.0

    def response_s(self, worker_count: int) -> float:
        """Return how long a response takes, in seconds.

        :param worker_count: number of workers in the request
        """
        return self.decision_s + worker_count * self.per_worker_s
