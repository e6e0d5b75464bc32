"""Table service over HTTP."""

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

# Followers, heartbeats, job changes and key rows run side by side.
_CONNECTIONS = 16


class HttpTableService(TableService):
    """Calls of the table service; none is repeated.

    :param settings: where the platform is and how long a call may take
    """

    def __init__(self, settings: PlatformSettings) -> None:
        """Open nothing yet."""
        self._client = PlatformClient(settings, _CONNECTIONS)

    async def transact(
        self, operations: Sequence[Operation]
    ) -> Result[TableCommit, TableFailure]:
        """Apply all operations or none."""
        body = json.dumps(
            {
                # A caller that tries again decides anew after a read, so
                # no two calls are the same transaction.
                "id": uuid4().hex,
                "operations": [self._encode(item) for item in operations],
            }
        )
        result = await self._client.call(
            "POST", "/v1/transactions", body.encode()
        )
        if isinstance(result, Err):
            return result
        answer = result.ok_value
        if answer.status == 409:
            return self._conflict(answer)
        if answer.status != 200:
            return self._client.unexpected(answer)
        commit = self._client.parse(CommitBody, answer)
        if isinstance(commit, Err):
            return commit
        versions = commit.ok_value.versions
        if len(versions) != len(operations):
            return Err(
                TableOutcomeUnknown("commit with a wrong number of versions")
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
        answer = result.ok_value
        if answer.status == 404:
            return Ok(None)
        if answer.status != 200:
            return self._client.unexpected(answer)
        parsed = self._client.parse(RowBody, answer)
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
        """Read the rows that were written after a revision.

        The stand-in answers at once, whatever ``wait_s`` allows.
        """
        query = urlencode(
            [("since", str(since)), *(("prefix", item) for item in prefixes)]
        )
        result = await self._client.call(
            "GET", f"/v1/tables/{quote(table, '')}/rows?{query}"
        )
        if isinstance(result, Err):
            return result
        answer = result.ok_value
        if answer.status != 200:
            return self._client.unexpected(answer)
        parsed = self._client.parse(ChangesBody, answer)
        if isinstance(parsed, Err):
            return parsed
        page = parsed.ok_value
        rows = tuple(
            Row(row.key, row.value, row.version, row.revision)
            for row in page.rows
        )
        return Ok(TableChanges(rows, page.revision, page.more))

    async def close(self) -> None:
        """Close all connections; calls under way fail."""
        await self._client.close()

    def _conflict(
        self, answer: HttpResponse
    ) -> Result[TableCommit, TableFailure]:
        parsed = self._client.parse(ConflictsBody, answer)
        if isinstance(parsed, Err):
            return parsed
        versions = {
            (row.table, row.key): row.version
            for row in parsed.ok_value.conflicts
        }
        names = ", ".join(f"{table}/{key}" for table, key in versions)
        return Err(
            TableConflict(f"other versions than expected: {names}", versions)
        )

    @staticmethod
    def _encode(operation: Operation) -> dict[str, Any]:
        encoded = {
            "op": _OPERATION_NAMES[type(operation)],
            "table": operation.table,
            "key": operation.key,
            "expected": operation.expected,
        }
        if isinstance(operation, PutRow):
            encoded["value"] = operation.value
        return encoded
