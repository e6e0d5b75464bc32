"""Mapping of outcomes and failures to HTTP statuses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.adapters.http.http_error import HttpError
from carawaystep.entry.call_failure import CallFailureCode
from carawaystep.request.outcome import Outcome
from carawaystep.request.outcome_reason import OutcomeReason

if TYPE_CHECKING:
    from carawaystep.entry.call_failure import CallFailure
    from carawaystep.request.reply import Reply

_RETRY_AFTER_S = "1"
_RETRYABLE_STATUSES = frozenset((429, 503))

_NOT_RUN_STATUSES = {OutcomeReason.SHED: 429, OutcomeReason.DEADLINE: 504}
_UNKNOWN_STATUSES = {OutcomeReason.DEADLINE: 504, OutcomeReason.DUPLICATE: 409}

FAILURE_STATUSES = {
    CallFailureCode.NOT_FOUND: 404,
    CallFailureCode.INVALID: 400,
    CallFailureCode.FORBIDDEN: 403,
    CallFailureCode.CONFLICT: 409,
    CallFailureCode.DRAINING: 503,
    CallFailureCode.PLATFORM_UNAVAILABLE: 503,
    CallFailureCode.UNKNOWN: 502,
}


def reply_status(reply: Reply) -> int:
    """Return the HTTP status for the outcome of a request."""
    if reply.outcome is Outcome.ANSWERED:
        return 200
    if reply.outcome is Outcome.NOT_RUN:
        return _NOT_RUN_STATUSES.get(reply.reason, 503)
    return _UNKNOWN_STATUSES.get(reply.reason, 502)


def retry_headers(status: int) -> dict[str, str]:
    """Return the Retry-After header for statuses that permit a retry."""
    if status not in _RETRYABLE_STATUSES:
        return {}
    return {"Retry-After": _RETRY_AFTER_S}


def to_http_error(
    failure: CallFailure, include_version: bool = False
) -> HttpError:
    """Return the error for a failed call.

    :param failure: failure of the call
    :param include_version: whether the reply to a conflict includes the
        current version of the document, 0 when it does not exist
    """
    status = FAILURE_STATUSES[failure.code]
    has_version = include_version and failure.code is CallFailureCode.CONFLICT
    return HttpError(
        status,
        str(failure.code),
        failure.detail,
        retry_headers(status),
        failure.version if has_version else None,
    )
