"""Validated content of a service document."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.document.service_kind import ServiceKind
    from carawaystep.worker.resources import Resources


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Validated content of a service document, with its version.

    It is the flat, internal form of ``ServiceDocument``.

    :param service: name of the service
    :param version: row version of the document
    :param team: owning team
    :param kind: latency-critical, batch or standing
    :param urgency: 0 to 100, higher values are served first
    :param needs: resources of one execution
    :param deadline_s: default deadline of a request in seconds
    :param idempotent: whether a request may run more than once
    :param max_body_bytes: maximum size of a request body in bytes
    :param queue_limit: maximum number of requests that wait in one entry
    :param run_s: declared run time of a job in seconds, None for services
        that are not batch
    :param due_s: seconds from submission to a job's due time
    :param max_attempts: number of failures after which a job is parked
    :param evictable: whether tasks may be evicted; not read by any code yet
    :param replicas: number of tasks of a standing service, else 0
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
