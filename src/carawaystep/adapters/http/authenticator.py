"""From the Authorization header to the rights of the caller."""

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
    """Checks tokens, roles and services before anything else is read."""

    def __init__(self, tokens: TokenTable) -> None:
        """Create an authenticator.

        :param tokens: accepted tokens
        """
        self._tokens = tokens

    def grant(
        self, request: Request, *roles: Role, service: str | None = None
    ) -> Result[Grant, HttpError]:
        """Return the rights of a caller that may make this call.

        :param request: the call
        :param roles: roles of which one is needed
        :param service: service that the rights must cover, None for any
        """
        values = request.headers.getlist("authorization")
        scheme, _, token = (
            values[0].partition(" ") if len(values) == 1 else ("", "", "")
        )
        grant = self._tokens.find(token.strip())
        if scheme.lower() != "bearer" or grant is None:
            return Err(_unauthorized())
        if not grant.has_role(*roles):
            names = " or ".join(roles)
            return Err(
                forbidden(f"the token lacks the role {names}; use another one")
            )
        if service is not None and not grant.covers(service):
            return Err(
                forbidden(
                    f"the token does not cover the service {service}; use"
                    " another one"
                )
            )
        return Ok(grant)


def forbidden(detail: str) -> HttpError:
    """Return the refusal of a caller whose rights do not suffice."""
    return HttpError(403, "forbidden", detail)


def _unauthorized() -> HttpError:
    return HttpError(
        401,
        "unauthorized",
        "send a known token as Authorization: Bearer TOKEN",
        {"WWW-Authenticate": "Bearer"},
    )
