"""JSON encoding of replies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette.responses import Response

from carawaystep.adapters.http.error_body import ErrorBody

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pydantic import BaseModel

    from carawaystep.adapters.http.http_error import HttpError

_JSON_MEDIA_TYPE = "application/json"


def model_reply(model: BaseModel, status: int = 200) -> Response:
    """Return a reply whose body is a model as JSON."""
    return Response(
        model.model_dump_json(), status, media_type=_JSON_MEDIA_TYPE
    )


def error_reply(
    error: HttpError, headers: Mapping[str, str] | None = None
) -> Response:
    """Return an error reply.

    :param error: content of the reply
    :param headers: headers in addition to those of the error
    """
    body = ErrorBody(
        error=error.code, detail=error.detail, version=error.version
    )
    return Response(
        body.model_dump_json(exclude_none=True),
        error.status,
        {**error.headers, **(headers or {})},
        media_type=_JSON_MEDIA_TYPE,
    )
