"""HTTP client that the platform adapters share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok

from carawaystep.adapters.http_client.http_client import HttpClient
from carawaystep.adapters.http_client.http_failure import HttpNotSent
from carawaystep.adapters.http_client.json_body import parse_json_body
from carawaystep.store.table_failure import TableOutcomeUnknown
from carawaystep.store.table_failure import TableRefused

if TYPE_CHECKING:
    from result import Result

    from carawaystep.adapters.http_client.http_response import HttpResponse
    from carawaystep.adapters.http_client.json_body import Body
    from carawaystep.settings.entry_settings import PlatformSettings
    from carawaystep.store.table_failure import TableFailure

_REFUSAL_STATUSES = frozenset({429, 503})


class PlatformClient:
    """HTTP calls to the platform that return failures as table failures.

    The clients of the objects and of the VM list return these failures, too.
    """

    def __init__(
        self, settings: PlatformSettings, max_connections: int
    ) -> None:
        """Create a client without connections.

        :param settings: URL of the platform and timeout of a call
        :param max_connections: maximum number of open connections
        """
        self._settings = settings
        self._http = HttpClient(settings.url, max_connections)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        content_type: str = "application/json",
    ) -> Result[HttpResponse, TableFailure]:
        """Send a request and return the response.

        :param method: HTTP method
        :param path: path and query, already percent-encoded
        :param body: body, None for a request without one
        :param content_type: media type of the body
        :returns: an response of any status except 429 and 503, which give
            :class:`TableRefused`
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
        response = result.ok_value
        if response.status in _REFUSAL_STATUSES:
            return Err(TableRefused(f"platform answered {response.status}"))
        return Ok(response)

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    @staticmethod
    def unexpected_status(response: HttpResponse) -> Err[TableFailure]:
        """Return the failure for a status outside the protocol."""
        return Err(TableOutcomeUnknown(f"platform answered {response.status}"))

    @staticmethod
    def parse(
        model: type[Body], response: HttpResponse
    ) -> Result[Body, TableFailure]:
        """Validate a JSON body; if it is malformed, the outcome is unknown."""
        return parse_json_body(model, response, "platform").map_err(
            TableOutcomeUnknown
        )
