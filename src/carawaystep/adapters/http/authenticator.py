"""Authentication and authorization of calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok

from carawaystep.adapters.http.http_error import HttpError

if TYPE_CHECKING:
    from result import Result
    from starlette.requests import Request

    from carawaystep.access.grant import Grant
    from carawaystep.access.role import Role
    from carawaystep.access.token_table import TokenTable


class Authenticator:
    """Checks the token of a call; handlers use it before they do any work."""

    def __init__(self, tokens: TokenTable) -> None:
        """Create an authenticator.

        :param tokens: accepted tokens
        """
        self._tokens = tokens

    def authorize(
        self, request: Request, *roles: Role, service: str | None = None
    ) -> Result[Grant, HttpError]:
        """Return the rights of the caller if they permit this call.

        :param request: HTTP request of the call
        :param roles: roles of which the token must have at least one
        :param service: service that the token must cover, None for any
        :returns: the rights of the token, or an error with status 401 or 403
        """
        values = request.headers.getlist("authorization")
        scheme, _, token = (
            values[0].partition(" ") if len(values) == 1 else ("", "", "")
        )
        grant = self._tokens.find(token.strip())
        if scheme.lower() != "bearer" or grant is None:
            return Err(_unauthorized())
        if not grant.has_role(*roles):
            role_names = " or ".join(roles)
            return Err(
                forbidden(
                    f"the token does not have the role {role_names}; use"
                    " another token"
                )
            )
        if service is not None and not grant.covers_service(service):
            return Err(
                forbidden(
                    f"the token does not cover the service {service}; use"
                    " another token"
                )
            )
        return Ok(grant)


def forbidden(detail: str) -> HttpError:
    """Return the error for a caller without sufficient rights."""
    return HttpError(403, "forbidden", detail)


def _unauthorized() -> HttpError:
    return HttpError(
        401,
        "unauthorized",
        "send a valid token as Authorization: Bearer TOKEN",
        {"WWW-Authenticate": "Bearer"},
    )
