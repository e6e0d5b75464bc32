"""A queue and the calls that reach it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QueueRoute:
    """One queue.

    :param name: name of the queue
    :param host: host name of its calls, lower case
    :param path_prefix: beginning of the paths of its calls
    :param service: service whose workers run its tasks
    :param priority: 0 goes first and may preempt others
    :param max_attempts: failures of a task that fail the workflow
    :param stretch: factor of the longest chain that is still on time
    :param objective_s: seconds beside the chain that are still on time
    :param permit_s: seconds for which a ticket of the placement service is
        valid, 0 when starts need none
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    objective_s: float
    permit_s: float = 0.0
