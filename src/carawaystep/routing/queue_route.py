"""Route of calls to a queue, and the properties of the queue."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.routing.ticket_terms import TicketTerms


@dataclass(frozen=True, slots=True)
class QueueRoute:
    """One queue and the calls that are routed to it.

    A workflow is on time when it ends within ``objective_s`` plus ``stretch``
    times the declared duration of its critical path.

    :param name: name of the queue
    :param host: host name of its calls, in lower case
    :param path_prefix: prefix of the URL paths of its calls
    :param service: service whose workers run its tasks
    :param priority: priority of its workflows; 0 is the highest and may
        preempt others
    :param max_attempts: number of failed attempts of a task after which its
        workflow fails
    :param stretch: factor on the duration of the critical path
    :param objective_s: seconds in addition to the stretched critical path
    :param ticket_terms: terms of the tickets of the placement service, None
        when starts need no ticket
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    objective_s: float
    ticket_terms: TicketTerms | None = None
