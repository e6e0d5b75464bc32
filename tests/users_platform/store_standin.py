"""Stand-in of the users' store, as its pages describe it."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

from tests.users_platform.store_fault import StoreFault

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from starlette.requests import Request

    _Call = Callable[[Request], Awaitable[Response]]

Place = tuple[str, str, str]

_STATUSES = {StoreFault.REFUSE: 503, StoreFault.BUSY: 429}
_LATE_S = 1.0
# Longer than any limit of the callers.
_SILENCE_S = 30.0


class StoreStandin:
    """Rows with versions from one counter, and faults.

    :ivar fault: what happens to the calls of all nodes
    :ivar faults: what happens to the calls of one node, by its name
    :ivar lose_next: how many transactions are applied and not answered
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self.rows: dict[Place, tuple[str | None, int]] = {}
        self.version = 0
        self.fault = StoreFault.NONE
        self.faults: dict[str, StoreFault] = {}
        self.lose_next = 0
        self.kept_since = 0
        self.calls = 0
        self._changed = asyncio.Condition()

    def app(self, node: str) -> Starlette:
        """Return the application that one node calls."""

        def route(path: str, call: _Call, method: str) -> Route:
            async def serve(request: Request) -> Response:
                return await self._faulty(node, call, request)

            return Route(path, serve, methods=[method])

        return Starlette(
            routes=[
                route("/api/rows-tx", self._transact, "POST"),
                route("/api/rows-get", self._get, "GET"),
                route("/api/rows-feed", self._feed, "GET"),
            ]
        )

    async def _faulty(
        self, node: str, call: _Call, request: Request
    ) -> Response:
        fault = self.faults.get(node, self.fault)
        status = _STATUSES.get(fault)
        if status is not None:
            return Response(status_code=status)
        if fault is StoreFault.RESET:
            # uvicorn closes a connection whose answer is too short.
            return Response(headers={"content-length": "9"})
        if fault is StoreFault.LATE:
            await request.body()
            await asyncio.sleep(_LATE_S)
        if fault is not StoreFault.SILENT:
            answer = await call(request)
            if fault is StoreFault.NONE:
                return answer
        await asyncio.sleep(_SILENCE_S)
        return Response(status_code=503)

    async def put(self, table: str, key: str, value: str) -> None:
        """Write a row as the operator or a worker does."""
        async with self._changed:
            self.version += 1
            self.rows[table, "", key] = (value, self.version)
            self._changed.notify_all()

    def forget(self) -> None:
        """Drop the history of changes."""
        self.kept_since = self.version + 1

    def _answer(self, status: int, **body: Any) -> Response:
        content = {"schema_version": self.version, "now_ms": 1, **body}
        return JSONResponse(content, status)

    def _row(self, place: Place) -> dict[str, Any]:
        value, version = self.rows.get(place, (None, 0))
        table, part, key = place
        row = {"table": table, "part": part, "key": key}
        if value is None:
            return {**row, "schema_version": version, "deleted": True}
        return {**row, "schema_version": version, "value": value}

    async def _transact(self, request: Request) -> Response:
        self.calls += 1
        body = await request.json()
        async with self._changed:
            conflicts = [
                self._row(self._place(row))
                for row in body["expected"]
                if self._present(self._place(row)) != row["schema_version"]
            ]
            if conflicts:
                rows = [self._row(self._place(r)) for r in body["expected"]]
                return self._answer(412, rows=rows)
            self.version += 1
            for row in body["writes"]:
                self.rows[self._place(row)] = (row["value"], self.version)
            for row in body["remove"]:
                if self._present(self._place(row)):
                    self.rows[self._place(row)] = (None, self.version)
            self._changed.notify_all()
        if self.lose_next:
            self.lose_next -= 1
            await asyncio.sleep(_SILENCE_S)
        return self._answer(200)

    async def _get(self, request: Request) -> Response:
        query = request.query_params
        limit = int(query.get("limit", "500"))
        places = sorted(
            place
            for place, (value, _) in self.rows.items()
            if place[:2] == (query["table"], query.get("part", ""))
            and value is not None
            and place[2] >= query.get("from", "")
            and ("target" not in query or place[2] < query["target"])
        )
        rows = [self._row(place) for place in places[:limit]]
        return self._answer(200, rows=rows, has_more=len(places) > limit)

    async def _feed(self, request: Request) -> Response:
        query = request.query_params
        after = int(query["after"])
        if after < self.kept_since:
            return Response(status_code=410)
        try:
            async with (
                asyncio.timeout(int(query["wait_ms"]) / 1000),
                self._changed,
            ):
                await self._changed.wait_for(
                    lambda: self._since(query["table"], after)
                )
        except TimeoutError:
            return self._answer(200, rows=[])
        return self._answer(200, rows=self._since(query["table"], after))

    def _since(self, table: str, after: int) -> list[dict[str, Any]]:
        places = sorted(
            (version, place)
            for place, (_, version) in self.rows.items()
            if place[0] == table and version > after
        )
        return [self._row(place) for _, place in places]

    def _present(self, place: Place) -> int:
        value, version = self.rows.get(place, (None, 0))
        return 0 if value is None else version

    @staticmethod
    def _place(row: dict[str, Any]) -> Place:
        return row["table"], row["part"], row["key"]
