"""Calls to the platform with failures of the table service."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from pydantic import BaseModel
from pydantic import ValidationError
from result import Err
from result import Ok

from carawaystep.adapters.http_client.http_client import HttpClient
from carawaystep.adapters.http_client.http_failure import HttpNotSent
from carawaystep.store.table_failure import TableOutcomeUnknown
from carawaystep.store.table_failure import TableRefused

if TYPE_CHECKING:
    from result import Result

    from carawaystep.adapters.http_client.http_response import HttpResponse
    from carawaystep.settings.entry_settings import PlatformSettings
    from carawaystep.store.table_failure import TableFailure

_REFUSALS = frozenset({429, 503})

Body = TypeVar("Body", bound=BaseModel)


class PlatformClient:
    """What the platform adapters have in common.

    :param settings: where the platform is and how long a call may take
    :param connections: limit of open connections
    """

    def __init__(self, settings: PlatformSettings, connections: int) -> None:
        """Open nothing yet."""
        self._settings = settings
        self._http = HttpClient(settings.url, connections)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        content_type: str = "application/json",
    ) -> Result[HttpResponse, TableFailure]:
        """Send a request; a refusal by the platform is a failure.

        :param method: HTTP method
        :param path: quoted path with query
        :param body: body, or None
        :param content_type: type of the body
        """
        headers = {} if body is None else {"Content-Type": content_type}
        result = await self._http.request(
            method, path, self._settings.timeout_s, headers, body
        )
        if isinstance(result, Err):
            failure = result.err_value
            if isinstance(failure, HttpNotSent):
                return Err(TableRefused(failure.detail))
            return Err(TableOutcomeUnknown(failure.detail))
        answer = result.ok_value
        if answer.status in _REFUSALS:
            return Err(TableRefused(f"platform answered {answer.status}"))
        return Ok(answer)

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    @staticmethod
    def unexpected(answer: HttpResponse) -> Err[TableFailure]:
        """Return the failure for a status outside the protocol."""
        return Err(TableOutcomeUnknown(f"platform answered {answer.status}"))

    @staticmethod
    def parse(
        model: type[Body], answer: HttpResponse
    ) -> Result[Body, TableFailure]:
        """Validate a JSON body; a malformed one leaves the result unknown."""
        try:
            return Ok(model.model_validate_json(answer.body))
        except ValidationError as error:
            first = error.errors()[0]
            where = ".".join(str(part) for part in first["loc"])
            return Err(
                TableOutcomeUnknown(
                    f"malformed {model.__name__} from the platform:"
                    f" {where or 'body'}: {first['msg']}"
                )
            )
