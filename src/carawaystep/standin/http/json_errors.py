"""Error responses with a JSON body."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import ValidationError
from starlette.exceptions import HTTPException
from starlette.responses import JSONResponse

if TYPE_CHECKING:
    from collections.abc import Mapping

    from starlette.requests import Request
    from starlette.types import ExceptionHandler


def json_error(
    status: int,
    code: str,
    detail: str,
    headers: Mapping[str, str] | None = None,
) -> JSONResponse:
    """Create an error response.

    :param status: HTTP status
    :param code: machine-readable name of the error
    :param detail: human-readable description
    :param headers: additional response headers
    """
    return JSONResponse(
        {"error": code, "detail": detail},
        status_code=status,
        headers=dict(headers or {}),
    )


async def _handle_validation_error(
    request: Request, exc: Exception
) -> JSONResponse:
    assert isinstance(exc, ValidationError)
    detail = "; ".join(
        f"{'.'.join(str(part) for part in error['loc']) or 'body'}: "
        f"{error['msg']}"
        for error in exc.errors(include_context=False)
    )
    return json_error(400, "malformed", detail)


async def _handle_http_exception(
    request: Request, exc: Exception
) -> JSONResponse:
    assert isinstance(exc, HTTPException)
    code = "not_found" if exc.status_code == 404 else "http_error"
    return json_error(exc.status_code, code, exc.detail)


EXCEPTION_HANDLERS: dict[type[Exception] | int, ExceptionHandler] = {
    ValidationError: _handle_validation_error,
    HTTPException: _handle_http_exception,
}
