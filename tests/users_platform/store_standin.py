"""Stand-in of the platform's store, modelled on its documentation."""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from collections import Counter
from collections import defaultdict
import json
from operator import itemgetter
from typing import Any
from typing import TYPE_CHECKING

from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.responses import StreamingResponse
from starlette.routing import Route

from tests.users_platform.store_fault import StoreFault

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from starlette.requests import Request

    _Handler = Callable[[Request], Awaitable[Response]]

RowId = tuple[str, str, str]

_FAULT_STATUSES = {StoreFault.REFUSE: 503, StoreFault.BUSY: 429}
_CALL_DELAY_S = 1.0
_MAX_ENTRIES = 100
_MAX_TRANSACTION_BYTES = 1_000_000
# Longer than every timeout of the callers.
_WITHHELD_ANSWER_S = 30.0
# Duration of the transfer of one part of a response on a limited link.
_LINK_PART_S = 0.02


class StoreStandin:
    """Versioned rows with one version counter, and injected faults.

    :ivar rows: value, None when deleted, and version by table, partition
        and key
    :ivar version: version of the last write
    :ivar default_fault: fault of the calls of nodes without their own fault
    :ivar faults_by_node: fault of the calls of one node, by its name
    :ivar answers_to_lose: number of following transactions that are applied
        without an answer
    :ivar oldest_feed_version: feed calls from an older version get status
        410
    :ivar transaction_count: number of transactions received
    :ivar rejected_transactions: number of transactions whose content was
        not accepted
    :ivar max_row_bytes: largest value of a row in base64
    :ivar link_rates: bytes per second of the responses to one node, by its
        name; the responses to other nodes are not limited
    :ivar bytes_sent: bytes of the bodies sent over each limited link
    :ivar commit_answer_delay_s: seconds between the application of a
        transaction and its answer
    :ivar feed_delays_s: by table, seconds by which answers of its change
        feed are delayed
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self.rows: dict[RowId, tuple[str | None, int]] = {}
        self.version = 0
        self.default_fault = StoreFault.NONE
        self.faults_by_node: dict[str, StoreFault] = {}
        self.answers_to_lose = 0
        self.oldest_feed_version = 0
        self.transaction_count = 0
        self.rejected_transactions = 0
        self.max_row_bytes = 65_536
        self.link_rates: dict[str, float] = {}
        self.bytes_sent: Counter[str] = Counter()
        self._links: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        # Each version of each row: the change feed lists all of them.
        self._history: list[tuple[int, RowId, str | None]] = []
        self.commit_answer_delay_s = 0.0
        self.feed_delays_s: dict[str, float] = {}
        self._rows_changed = asyncio.Condition()

    def app(self, node: str) -> Starlette:
        """Return the ASGI application for the calls of one node.

        :param node: name of the node
        """

        def route(path: str, handler: _Handler, method: str) -> Route:
            async def serve(request: Request) -> Response:
                response = await self._handle_with_fault(
                    node, handler, request
                )
                if node in self.link_rates:
                    return self._limit_rate(node, response)
                return response

            return Route(path, serve, methods=[method])

        return Starlette(
            routes=[
                route("/api/rows-tx", self._transact, "POST"),
                route("/api/rows-get", self._get, "GET"),
                route("/api/rows-feed", self._feed, "GET"),
            ]
        )

    async def _handle_with_fault(
        self, node: str, handler: _Handler, request: Request
    ) -> Response:
        fault = self.faults_by_node.get(node, self.default_fault)
        status = _FAULT_STATUSES.get(fault)
        if status is not None:
            return Response(status_code=status)
        if fault is StoreFault.RESET:
            # uvicorn closes the connection when a body is shorter than its
            # content-length.
            return Response(headers={"content-length": "9"})
        if fault is StoreFault.LATE:
            await request.body()
            await asyncio.sleep(_CALL_DELAY_S)
        if fault is not StoreFault.SILENT:
            response = await handler(request)
            if fault is StoreFault.NONE:
                return response
        await asyncio.sleep(_WITHHELD_ANSWER_S)
        return Response(status_code=503)

    def _limit_rate(self, node: str, response: Response) -> Response:
        """Send a response over the link of a node, which has a fixed rate.

        The responses to the same node share the link.
        """
        body = bytes(response.body)
        part_size = max(1, int(self.link_rates[node] * _LINK_PART_S))

        async def send_parts() -> AsyncIterator[bytes]:
            for begin in range(0, len(body), part_size):
                part = body[begin : begin + part_size]
                async with self._links[node]:
                    await asyncio.sleep(len(part) / self.link_rates[node])
                self.bytes_sent[node] += len(part)
                yield part

        headers = dict(response.headers)
        return StreamingResponse(send_parts(), response.status_code, headers)

    async def put(
        self, table: str, key: str, value: str, part: str = ""
    ) -> None:
        """Write a row without a condition.

        :param value: base64 of the JSON value
        :param part: partition, by default that of the operator's and the
            workers' tables
        """
        async with self._rows_changed:
            self.version += 1
            self._write((table, part, key), value)
            self._rows_changed.notify_all()

    async def delete(self, table: str, key: str, part: str = "") -> None:
        """Delete a row without a condition.

        :param part: partition, by default that of the operator's and the
            workers' tables
        """
        async with self._rows_changed:
            self.version += 1
            self._write((table, part, key), None)
            self._rows_changed.notify_all()

    def drop_history(self) -> None:
        """Discard the change history up to the current version."""
        self.oldest_feed_version = self.version + 1

    def _json_response(self, status: int, **body: Any) -> Response:
        content = {"schema_version": self.version, "now_ms": 1, **body}
        return JSONResponse(content, status)

    def _write(self, row_id: RowId, value: str | None) -> None:
        self.rows[row_id] = (value, self.version)
        self._history.append((self.version, row_id, value))

    def _current_row_body(self, row_id: RowId) -> dict[str, Any]:
        value, version = self.rows.get(row_id, (None, 0))
        return self._row_body(row_id, value, version)

    @staticmethod
    def _row_body(
        row_id: RowId, value: str | None, version: int
    ) -> dict[str, Any]:
        table, part, key = row_id
        row = {"table": table, "part": part, "key": key}
        if value is None:
            return {**row, "schema_version": version, "deleted": True}
        return {**row, "schema_version": version, "value": value}

    async def _transact(self, request: Request) -> Response:
        self.transaction_count += 1
        data = await request.body()
        body = json.loads(data)
        problem = self._find_problem(body, len(data))
        if problem:
            self.rejected_transactions += 1
            return JSONResponse({"error": problem}, 400)
        async with self._rows_changed:
            conflicts = [
                self._current_row_body(self._row_id(row))
                for row in body["expected"]
                if self._current_version(self._row_id(row))
                != row["schema_version"]
            ]
            if conflicts:
                rows = [
                    self._current_row_body(self._row_id(r))
                    for r in body["expected"]
                ]
                return self._json_response(412, rows=rows)
            self.version += 1
            for row in body["writes"]:
                self._write(self._row_id(row), row["value"])
            for row in body["remove"]:
                if self._current_version(self._row_id(row)):
                    self._write(self._row_id(row), None)
            self._rows_changed.notify_all()
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            await asyncio.sleep(_WITHHELD_ANSWER_S)
        await asyncio.sleep(self.commit_answer_delay_s)
        return self._json_response(200)

    def _find_problem(self, body: dict[str, Any], size: int) -> str:
        """Return why a transaction is not acceptable, or an empty text."""
        entries = sum(len(rows) for rows in body.values())
        if entries > _MAX_ENTRIES:
            return f"{entries} entries"
        if size > _MAX_TRANSACTION_BYTES:
            return f"{size} bytes"
        for row in body["writes"]:
            if len(row["value"]) > self.max_row_bytes:
                return f"row {row['key']} of {len(row['value'])} bytes"
        return ""

    async def _get(self, request: Request) -> Response:
        query = request.query_params
        limit = int(query.get("limit", "500"))
        row_ids = sorted(
            row_id
            for row_id, (value, _) in self.rows.items()
            if row_id[:2] == (query["table"], query.get("part", ""))
            and value is not None
            and row_id[2] >= query.get("from", "")
            and ("target" not in query or row_id[2] < query["target"])
        )
        rows = [self._current_row_body(row_id) for row_id in row_ids[:limit]]
        return self._json_response(
            200, rows=rows, has_more=len(row_ids) > limit
        )

    async def _feed(self, request: Request) -> Response:
        query = request.query_params
        after = int(query["after"])
        if after < self.oldest_feed_version:
            return Response(status_code=410)
        try:
            async with (
                asyncio.timeout(int(query["wait_ms"]) / 1000),
                self._rows_changed,
            ):
                await self._rows_changed.wait_for(
                    lambda: self._rows_since(query["table"], after)
                )
        except TimeoutError:
            # A row may have been written since the wait ended.
            rows = self._rows_since(query["table"], after)
            return self._json_response(200, rows=rows)
        await asyncio.sleep(self.feed_delays_s.get(query["table"], 0.0))
        return self._json_response(
            200, rows=self._rows_since(query["table"], after)
        )

    def _rows_since(self, table: str, after: int) -> list[dict[str, Any]]:
        first = bisect_right(self._history, after, key=itemgetter(0))
        return [
            self._row_body(row_id, value, version)
            for version, row_id, value in self._history[first:]
            if row_id[0] == table
        ]

    def _current_version(self, row_id: RowId) -> int:
        value, version = self.rows.get(row_id, (None, 0))
        return 0 if value is None else version

    @staticmethod
    def _row_id(row: dict[str, Any]) -> RowId:
        return row["table"], row["part"], row["key"]
