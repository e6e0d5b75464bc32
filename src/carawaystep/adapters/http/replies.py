"""Encoding of replies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette.responses import Response

from carawaystep.adapters.http.error_body import ErrorBody

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pydantic import BaseModel

    from carawaystep.adapters.http.http_error import HttpError

_JSON = "application/json"


def model_reply(model: BaseModel, status: int = 200) -> Response:
    """Return a reply with a model as its body."""
    return Response(model.model_dump_json(), status, media_type=_JSON)


def error_reply(
    refusal: HttpError, headers: Mapping[str, str] | None = None
) -> Response:
    """Return an error reply.

    :param refusal: what to tell
    :param headers: headers beside those of the refusal
    """
    body = ErrorBody(
        error=refusal.code, detail=refusal.detail, version=refusal.version
    )
    return Response(
        body.model_dump_json(exclude_none=True),
        refusal.status,
        {**refusal.headers, **(headers or {})},
        media_type=_JSON,
    )
