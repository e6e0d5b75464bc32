"""Request message to a worker."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.worker.resources import Resources


@dataclass(frozen=True, slots=True)
class WorkerRequest:
    """One dispatch of a caller's request.

    :param request_id: id of the dispatch, unique also over retries
    :param service: name of the service
    :param idempotency_key: the caller's idempotency key, or None
    :param needs: resources reserved while it runs
    :param body: the caller's body
    """

    request_id: str
    service: str
    idempotency_key: str | None
    needs: Resources
    body: bytes
