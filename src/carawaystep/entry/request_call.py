"""A request as front ends pass it to an entry."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestCall:
    """A validated request.

    :param service: name of a latency-critical service
    :param idempotency_key: key given by the caller, or None
    :param deadline_s: seconds until the deadline, None for the value in the
        service document
    :param body: complete body
    """

    service: str
    idempotency_key: str | None
    deadline_s: float | None
    body: bytes
