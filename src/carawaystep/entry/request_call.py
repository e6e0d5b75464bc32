"""A caller's request as a front end hands it over."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestCall:
    """A validated call.

    :param service: name of the service
    :param idempotency_key: the caller's key, or None
    :param deadline_s: seconds until the deadline, None for the default
    :param body: the whole body
    """

    service: str
    idempotency_key: str | None
    deadline_s: float | None
    body: bytes
