"""Stand-in of the platform's store, after PROTOCOL.md."""

from __future__ import annotations

import asyncio
from base64 import b64decode
from base64 import b64encode
from bisect import bisect_left
from bisect import insort
from collections import defaultdict
import json
import time
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from review.rig_2.http import Request

RowId = tuple[str, str, str]
_READ_ONLY = ("op", "servers")
_TRANSACTION_S = 0.004
_MAX_ROWS = 500
_MAX_BYTES = 1_000_000


class Store:
    """Linearizable rows with one version counter, a feed and its history."""

    def __init__(self, row_bytes: int = 65536) -> None:
        """Create an empty store.

        :param row_bytes: largest value before it is encoded as base64
        """
        self.rows: dict[RowId, tuple[str, int]] = {}
        # Keys of each table and part, in ascending order.
        self._keys: defaultdict[tuple[str, str], list[str]]
        self._keys = defaultdict(list)
        self.version = 0
        self.row_bytes = row_bytes
        self.rejected: list[str] = []
        self._history: list[tuple[int, RowId, str | None]] = []
        self._changed = asyncio.Condition()

    async def put(self, table: str, key: str, value: Any) -> None:
        """Write a row of the operator or of a worker."""
        async with self._changed:
            self.version += 1
            text = b64encode(json.dumps(value).encode()).decode()
            self._write((table, "", key), text)
            self._changed.notify_all()

    async def delete(self, table: str, key: str) -> None:
        """Delete a row of the operator or of a worker."""
        async with self._changed:
            self.version += 1
            self._write((table, "", key), None)
            self._changed.notify_all()

    def values(self, table: str) -> dict[str, Any]:
        """Return the decoded values of a table by key."""
        return {
            row_id[2]: json.loads(b64decode(text))
            for row_id, (text, _) in self.rows.items()
            if row_id[0] == table
        }

    async def handle(self, request: Request) -> tuple[int, Any]:
        """Answer one call."""
        if request.path == "/api/rows-tx":
            await asyncio.sleep(_TRANSACTION_S)
            return await self._transact(request)
        if request.path == "/api/rows-get":
            await asyncio.sleep(_TRANSACTION_S)
            return self._get(request.query)
        if request.path == "/api/rows-feed":
            return await self._feed(request.query)
        return 404, {"error": request.path}

    def _set(self, row_id: RowId, value: str | None) -> None:
        keys = self._keys[row_id[:2]]
        if value is None:
            if self.rows.pop(row_id, None) is not None:
                del keys[bisect_left(keys, row_id[2])]
            return
        if row_id not in self.rows:
            insort(keys, row_id[2])
        self.rows[row_id] = (value, self.version)

    def _write(self, row_id: RowId, value: str | None) -> None:
        self._set(row_id, value)
        self._history.append((self.version, row_id, value))

    def _answer(self, status: int, **body: Any) -> tuple[int, Any]:
        now_ms = int(time.monotonic() * 1000)
        return status, {
            "schema_version": self.version,
            "now_ms": now_ms,
            **body,
        }

    @staticmethod
    def _id(row: dict[str, Any]) -> RowId:
        return row["table"], row.get("part", ""), row["key"]

    def _body(self, row_id: RowId) -> dict[str, Any]:
        table, part, key = row_id
        row = {"table": table, "part": part, "key": key}
        stored = self.rows.get(row_id)
        if stored is None:
            return {**row, "schema_version": 0, "deleted": True}
        return {**row, "schema_version": stored[1], "value": stored[0]}

    async def _transact(self, request: Request) -> tuple[int, Any]:
        body = request.json()
        expected = body.get("expected") or []
        writes = body.get("writes") or []
        remove = body.get("remove") or []
        problem = self._problem(request, expected, writes, remove)
        if problem:
            self.rejected.append(problem)
            return 400, {"error": problem}
        async with self._changed:
            ids = [self._id(row) for row in expected]
            if any(
                self._body(row_id)["schema_version"] != row["schema_version"]
                for row_id, row in zip(ids, expected, strict=True)
            ):
                rows = [
                    self._body(row_id) for row_id in ids if row_id in self.rows
                ]
                return self._answer(412, rows=rows)
            self.version += 1
            for row in writes:
                self._write(self._id(row), row["value"])
            for row in remove:
                if self._id(row) in self.rows:
                    self._write(self._id(row), None)
            self._changed.notify_all()
        return self._answer(200)

    def _problem(
        self, request: Request, expected: Any, writes: Any, remove: Any
    ) -> str:
        if len(expected) + len(writes) + len(remove) > 100:
            return "more than 100 entries"
        if len(request.body) > _MAX_BYTES:
            return "more than 1 MB"
        for row in [*writes, *remove]:
            if row["table"] in _READ_ONLY:
                return f"table {row['table']}"
        for row in writes:
            size = len(b64decode(row["value"]))
            if size > self.row_bytes:
                return f"{row['table']}/{row['key']}: {size} bytes"
        return ""

    def _get(self, query: dict[str, str]) -> tuple[int, Any]:
        limit = min(int(query.get("limit", _MAX_ROWS)), _MAX_ROWS)
        wanted = (query["table"], query.get("part", ""))
        first, end = query.get("from", ""), query.get("target")
        keys = self._keys[wanted]
        begin = bisect_left(keys, first)
        stop = len(keys) if end is None else bisect_left(keys, end)
        last = min(stop, begin + limit)
        ids = [(*wanted, key) for key in keys[begin:last]]
        rows: list[dict[str, Any]] = []
        size = 0
        for row_id in ids:
            row = self._body(row_id)
            size += len(row["value"])
            if rows and size > _MAX_BYTES:
                break
            rows.append(row)
        return self._answer(200, rows=rows, has_more=begin + len(rows) < stop)

    async def _feed(self, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["after"])
        wait_s = min(int(query.get("wait_ms", 0)), 30_000) / 1000
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self._since(query["table"], after)
                )
        except TimeoutError:
            pass
        return self._answer(200, rows=self._since(query["table"], after))

    def _since(self, table: str, after: int) -> list[dict[str, Any]]:
        found = []
        for version, row_id, value in reversed(self._history):
            if version <= after:
                break
            if row_id[0] != table:
                continue
            row = {
                "table": table,
                "part": row_id[1],
                "key": row_id[2],
                "schema_version": version,
            }
            row |= {"deleted": True} if value is None else {"value": value}
            found.append(row)
        return found[::-1]
