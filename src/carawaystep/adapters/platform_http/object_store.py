"""HTTP client of the platform's object store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from result import Err
from result import Ok

from carawaystep.adapters.platform_http.platform_client import PlatformClient
from carawaystep.store.object_store import ObjectStore

if TYPE_CHECKING:
    from result import Result

    from carawaystep.settings.entry_settings import PlatformSettings
    from carawaystep.store.table_failure import TableFailure

_SUCCESS_STATUSES = frozenset({200, 201, 204})

_MAX_CONNECTIONS = 4


class HttpObjectStore(ObjectStore):
    """Client of the object store; sends each call at most once."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Create a client without connections.

        :param settings: URL of the platform and timeout of a call
        """
        self._client = PlatformClient(settings, _MAX_CONNECTIONS)

    async def put(self, key: str, body: bytes) -> Result[None, TableFailure]:
        """Store an object, replacing one with the same key."""
        result = await self._client.call(
            "PUT", self._path(key), body, "application/octet-stream"
        )
        if isinstance(result, Err):
            return result
        if result.ok_value.status not in _SUCCESS_STATUSES:
            return self._client.unexpected_status(result.ok_value)
        return Ok(None)

    async def get(self, key: str) -> Result[bytes | None, TableFailure]:
        """Return the content of an object, None when it does not exist."""
        result = await self._client.call("GET", self._path(key))
        if isinstance(result, Err):
            return result
        response = result.ok_value
        if response.status == 404:
            return Ok(None)
        if response.status != 200:
            return self._client.unexpected_status(response)
        return Ok(response.body)

    async def close(self) -> None:
        """Close all connections; calls in progress fail."""
        await self._client.close()

    @staticmethod
    def _path(key: str) -> str:
        return f"/v1/objects/{quote(key)}"
