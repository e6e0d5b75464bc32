"""Parsing and validation of the headers of a call."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from result import Err
from result import Ok

from carawaystep.adapters.http.http_error import HttpError

if TYPE_CHECKING:
    from result import Result
    from starlette.requests import Request

DEADLINE_HEADER = "Carawaystep-Deadline"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
OUTCOME_HEADER = "Carawaystep-Outcome"
REQUEST_ID_HEADER = "Carawaystep-Request-Id"

# The limit on digits keeps the value finite and its conversion cheap.
_SECONDS_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")


def get_single_header(
    request: Request, name: str
) -> Result[str | None, HttpError]:
    """Return the value of a header, None when it is absent.

    A header that is given more than once is an error with status 400.
    """
    values = request.headers.getlist(name)
    if len(values) > 1:
        return Err(
            HttpError(
                400,
                "bad-header",
                f"{name} is given more than once; send one value",
            )
        )
    return Ok(values[0] if values else None)


def parse_deadline(
    request: Request, default_s: float, max_s: float
) -> Result[float, HttpError]:
    """Return the caller's deadline in seconds from now.

    :param request: HTTP request of the call
    :param default_s: deadline when the header is absent
    :param max_s: maximum; a later deadline is reduced to it
    """
    value = get_single_header(request, DEADLINE_HEADER)
    if isinstance(value, Err):
        return value
    text = value.ok_value
    if text is None:
        return Ok(min(default_s, max_s))
    seconds = float(text) if _SECONDS_PATTERN.fullmatch(text) else 0.0
    if seconds <= 0.0:
        return Err(
            HttpError(
                400,
                "bad-deadline",
                f"{DEADLINE_HEADER} must be a decimal number of seconds above"
                " 0, such as 1.5",
            )
        )
    return Ok(min(seconds, max_s))


def parse_idempotency_key(
    request: Request, required: bool
) -> Result[str | None, HttpError]:
    """Return the caller's idempotency key, None when it is absent.

    :param request: HTTP request of the call
    :param required: whether the service requires a key
    """
    value = get_single_header(request, IDEMPOTENCY_KEY_HEADER)
    if isinstance(value, Err):
        return value
    key = value.ok_value
    if key is None and required:
        return Err(
            HttpError(
                400,
                "idempotency-key-required",
                "the service is not idempotent; send"
                f" {IDEMPOTENCY_KEY_HEADER} with a value that is unique to"
                " this piece of work",
            )
        )
    if key is not None and not _KEY_PATTERN.fullmatch(key):
        return Err(
            HttpError(
                400,
                "bad-idempotency-key",
                f"{IDEMPOTENCY_KEY_HEADER} must be 1 to 128 visible ASCII"
                " characters; send such a key",
            )
        )
    return Ok(key)


def check_content_headers(
    request: Request, allowed_types: tuple[str, ...]
) -> HttpError | None:
    """Return the error for an unsupported encoding or media type, else None.

    :param request: HTTP request of the call; a missing Content-Type is
        accepted
    :param allowed_types: supported media types in lower case
    """
    encoding = request.headers.get("content-encoding", "identity")
    if encoding.lower() != "identity":
        return HttpError(
            415,
            "unsupported-encoding",
            "the body must not be compressed; send it without"
            " Content-Encoding",
        )
    content_type = request.headers.get("content-type", "")
    media_type = content_type.partition(";")[0].strip().lower()
    if media_type and media_type not in allowed_types:
        return HttpError(
            415,
            "unsupported-content-type",
            f"send the body with Content-Type {' or '.join(allowed_types)}",
        )
    return None
