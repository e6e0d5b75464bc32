"""Reading of request bodies with limits of size and time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err
from result import Ok

from carawaystep.adapters.http.http_error import HttpError

if TYPE_CHECKING:
    from result import Result
    from starlette.requests import Request


async def read_body(
    request: Request, limit_bytes: int, timeout_s: float
) -> Result[bytes, HttpError]:
    """Return the complete body.

    :param request: HTTP request of the call
    :param limit_bytes: maximum size of the body
    :param timeout_s: seconds within which the whole body must arrive
    :returns: the body, or an error with status 400, 408 or 413
    """
    declared_length = request.headers.get("content-length", "")
    if declared_length and "transfer-encoding" in request.headers:
        return Err(_ambiguous_length())
    if declared_length.isdecimal() and int(declared_length) > limit_bytes:
        return Err(_too_large(limit_bytes))
    try:
        async with asyncio.timeout(timeout_s):
            return await _collect(request, limit_bytes)
    except TimeoutError:
        return Err(
            HttpError(
                408,
                "body-too-slow",
                f"the body did not arrive within {timeout_s:g} s; send it"
                " faster or make it smaller",
            )
        )


async def _collect(
    request: Request, limit_bytes: int
) -> Result[bytes, HttpError]:
    body = bytearray()
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return Err(_truncated())
        body += message.get("body", b"")
        if len(body) > limit_bytes:
            return Err(_too_large(limit_bytes))
        if not message.get("more_body", False):
            return Ok(bytes(body))


def _ambiguous_length() -> HttpError:
    # A load balancer may use the other length, so that the rest of the body
    # would be executed as another caller's call: request smuggling (RFC 9112,
    # section 6.1).
    return HttpError(
        400,
        "bad-header",
        "send either Content-Length or Transfer-Encoding, not both",
    )


def _too_large(limit_bytes: int) -> HttpError:
    return HttpError(
        413,
        "body-too-large",
        f"the body is larger than {limit_bytes} bytes; send a smaller one",
    )


def _truncated() -> HttpError:
    return HttpError(
        400,
        "body-truncated",
        "the connection closed before the end of the body; send it again",
    )
