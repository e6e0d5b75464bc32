"""HTTP client of the platform's table service."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from urllib.parse import quote
from urllib.parse import urlencode
from uuid import uuid4

from result import Err
from result import Ok

from carawaystep.adapters.platform_http.platform_bodies import ChangesBody
from carawaystep.adapters.platform_http.platform_bodies import CommitBody
from carawaystep.adapters.platform_http.platform_bodies import ConflictsBody
from carawaystep.adapters.platform_http.platform_bodies import RowBody
from carawaystep.adapters.platform_http.platform_client import PlatformClient
from carawaystep.store.operation import CheckRow
from carawaystep.store.operation import DeleteRow
from carawaystep.store.operation import PutRow
from carawaystep.store.row import Row
from carawaystep.store.table_changes import TableChanges
from carawaystep.store.table_commit import TableCommit
from carawaystep.store.table_failure import TableConflict
from carawaystep.store.table_failure import TableOutcomeUnknown
from carawaystep.store.table_service import TableService

if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Any

    from result import Result

    from carawaystep.adapters.http_client.http_response import HttpResponse
    from carawaystep.settings.entry_settings import PlatformSettings
    from carawaystep.store.operation import Operation
    from carawaystep.store.table_failure import TableFailure

_OPERATION_NAMES: dict[type[Operation], str] = {
    PutRow: "put",
    DeleteRow: "delete",
    CheckRow: "check",
}

# Reads of changes, heartbeats, job transactions and writes of idempotency
# keys call the service concurrently.
_MAX_CONNECTIONS = 16


class HttpTableService(TableService):
    """Client of the table service; sends each call at most once."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Create a client without connections.

        :param settings: URL of the platform and timeout of a call
        """
        self._client = PlatformClient(settings, _MAX_CONNECTIONS)

    async def transact(
        self, operations: Sequence[Operation]
    ) -> Result[TableCommit, TableFailure]:
        """Apply all operations atomically, or none."""
        body = json.dumps(
            {
                # A new id for each call: a caller that retries first reads
                # again, so a retry is a different transaction.
                "id": uuid4().hex,
                "operations": [
                    self._encode_operation(item) for item in operations
                ],
            }
        )
        result = await self._client.call(
            "POST", "/v1/transactions", body.encode()
        )
        if isinstance(result, Err):
            return result
        response = result.ok_value
        if response.status == 409:
            return self._parse_conflict(response)
        if response.status != 200:
            return self._client.unexpected_status(response)
        commit = self._client.parse(CommitBody, response)
        if isinstance(commit, Err):
            return commit
        versions = commit.ok_value.versions
        if len(versions) != len(operations):
            return Err(
                TableOutcomeUnknown(
                    "the commit has a different number of versions than the"
                    " transaction has operations"
                )
            )
        return Ok(TableCommit(commit.ok_value.revision, versions))

    async def get(
        self, table: str, key: str
    ) -> Result[Row | None, TableFailure]:
        """Read one row."""
        path = f"/v1/tables/{quote(table, '')}/rows/{quote(key, '')}"
        result = await self._client.call("GET", path)
        if isinstance(result, Err):
            return result
        response = result.ok_value
        if response.status == 404:
            return Ok(None)
        if response.status != 200:
            return self._client.unexpected_status(response)
        parsed = self._client.parse(RowBody, response)
        if isinstance(parsed, Err):
            return parsed
        row = parsed.ok_value
        return Ok(Row(key, row.value, row.version, row.revision))

    async def changes(
        self,
        table: str,
        since: int,
        prefixes: Sequence[str] = (),
        wait_s: float = 0.0,
    ) -> Result[TableChanges, TableFailure]:
        """Read the rows that changed after a revision.

        ``wait_s`` is not sent: the stand-in platform has no parameter for it
        and always responds at once.
        """
        query = urlencode(
            [("since", str(since)), *(("prefix", item) for item in prefixes)]
        )
        result = await self._client.call(
            "GET", f"/v1/tables/{quote(table, '')}/rows?{query}"
        )
        if isinstance(result, Err):
            return result
        response = result.ok_value
        if response.status != 200:
            return self._client.unexpected_status(response)
        parsed = self._client.parse(ChangesBody, response)
        if isinstance(parsed, Err):
            return parsed
        page = parsed.ok_value
        rows = tuple(
            Row(row.key, row.value, row.version, row.revision)
            for row in page.rows
        )
        return Ok(TableChanges(rows, page.revision, page.more))

    async def close(self) -> None:
        """Close all connections; calls in progress fail."""
        await self._client.close()

    def _parse_conflict(
        self, response: HttpResponse
    ) -> Result[TableCommit, TableFailure]:
        parsed = self._client.parse(ConflictsBody, response)
        if isinstance(parsed, Err):
            return parsed
        versions = {
            (row.table, row.key): row.version
            for row in parsed.ok_value.conflicts
        }
        row_names = ", ".join(f"{table}/{key}" for table, key in versions)
        return Err(
            TableConflict(f"unexpected row versions: {row_names}", versions)
        )

    @staticmethod
    def _encode_operation(operation: Operation) -> dict[str, Any]:
        encoded = {
            "op": _OPERATION_NAMES[type(operation)],
            "table": operation.table,
            "key": operation.key,
            "expected": operation.expected,
        }
        if isinstance(operation, PutRow):
            encoded["value"] = operation.value
        return encoded
