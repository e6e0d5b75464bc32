"""Outcome of one call as its caller saw it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.request.outcome import Outcome


@dataclass(frozen=True, slots=True)
class CallRecord:
    """A call of a load generator and the response to it.

    :param service: name of the service
    :param key: the Idempotency-Key, None when none was sent
    :param entry: base URL of the entry
    :param outcome: outcome known to the caller, None when the call was
        rejected before it became a request
    :param request_id: id assigned by the entry, None when none arrived
    :param status: HTTP status, None when no response arrived
    :param latency_s: time from sending to the last byte of the response
    :param matches_request: False when the response belongs to another
        request
    :param started_at: time of sending, seconds of the monotonic clock
    :param sent_sha256: SHA-256 of the body that was sent
    :param body: body of the response
    """

    service: str
    key: str | None
    entry: str
    outcome: Outcome | None
    request_id: str | None
    status: int | None
    latency_s: float
    matches_request: bool = True
    started_at: float = 0.0
    sent_sha256: str = ""
    body: bytes = b""
