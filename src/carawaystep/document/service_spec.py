"""A service document as the rest of the code uses it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.document.service_kind import ServiceKind
    from carawaystep.worker.resources import Resources


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A validated service document with its version.

    :param service: name of the service
    :param version: row version of the document
    :param team: owning team
    :param kind: latency-critical, batch or standing
    :param urgency: 0 to 100
    :param needs: resources of one execution
    :param deadline_s: default deadline of a request, seconds
    :param idempotent: whether a request may run more than once
    :param max_body_bytes: largest request body
    :param queue_limit: requests that may wait in one entry
    :param run_s: declared run time of a job, None for standing services
    :param due_s: seconds from submission until a job is due
    :param max_attempts: failed attempts after which a job is parked
    :param evictable: whether tasks may be evicted
    :param replicas: tasks of a standing service
    """

    service: str
    version: int
    team: str
    kind: ServiceKind
    urgency: int
    needs: Resources
    deadline_s: float
    idempotent: bool
    max_body_bytes: int
    queue_limit: int
    run_s: float | None
    due_s: float
    max_attempts: int
    evictable: bool
    replicas: int
