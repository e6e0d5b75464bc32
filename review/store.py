"""Stand-in of the platform's store, after PROTOCOL.md and the settings."""

from __future__ import annotations

import asyncio
from bisect import bisect_left
from bisect import insort
from base64 import b64decode
from base64 import b64encode
import json
import time

from web import Server

ROW_BYTES = 65_536
TXN_ENTRIES = 100
CALL_BYTES = 1_000_000
PAGE_ROWS = 500
TXN_S = 0.004


class Store:
    """Versioned rows; one port for each node, so that calls have a sender."""

    def __init__(self, record):
        self._record = record
        self.rows = {}  # (table, part, key) -> (base64 or None, version)
        self._keys = {}  # (table, part) -> sorted keys that ever had a row
        self._history = []
        self.version = 0
        self._changed = asyncio.Condition()
        self._servers = []
        # Node that made the last write under a condition.
        self.last_conditional_writer = ""
        self.refused_rows = 0
        # Called as fault(node, path, body) before a call; returns None,
        # "silent", a status, or "lose" (do it and don't answer).
        self.fault = lambda node, path, body: None

    async def open_port(self, node):
        async def handle(method, path, query, headers, body):
            return await self._handle(node, path, query, body)

        server = Server(handle)
        await server.start()
        self._servers.append(server)
        return server.address

    async def stop(self):
        for server in self._servers:
            await server.stop()

    async def put(self, table, key, value):
        """Write a row of the operator or of a worker."""
        text = b64encode(json.dumps(value).encode()).decode()
        await self.apply([((table, "", key), text)])

    async def fill(self, like, keys):
        """Write many rows with the value of one, without their changes."""
        text, _ = self.rows[like]
        table = like[:2]
        async with self._changed:
            self.version += 1
            for key in keys:
                self.rows[*table, key] = (text, self.version)
            self._keys[table] = sorted({*self._keys[table], *keys})

    async def delete(self, table, key):
        await self.apply([((table, "", key), None)])

    def value(self, table, part, key):
        text, _ = self.rows.get((table, part, key), (None, 0))
        return None if text is None else json.loads(b64decode(text))

    async def _handle(self, node, path, query, body):
        fault = self.fault(node, path, body)
        if fault == "silent":
            await asyncio.sleep(30)
            return None
        if isinstance(fault, int):
            return fault, None
        if path == "/api/rows-tx":
            answer = await self._transact(node, body)
        elif path == "/api/rows-get":
            answer = self._get(query)
        elif path == "/api/rows-feed":
            answer = await self._feed(query)
        else:
            answer = 404, None
        if fault == "lose":
            await asyncio.sleep(30)
            return None
        return answer

    def _body(self, **fields):
        return {
            "schema_version": self.version,
            "now_ms": int(time.monotonic() * 1000),
            **fields,
        }

    def _row(self, row_id, text, version):
        table, part, key = row_id
        row = {"table": table, "part": part, "key": key}
        if text is None:
            return {**row, "schema_version": version, "deleted": True}
        return {**row, "schema_version": version, "value": text}

    def _current(self, row_id):
        text, version = self.rows.get(row_id, (None, 0))
        return 0 if text is None else version

    async def apply(self, changes):
        """Write rows: pairs of row id and base64, None to delete."""
        async with self._changed:
            self.version += 1
            for row_id, text in changes:
                if row_id not in self.rows:
                    insort(self._keys.setdefault(row_id[:2], []), row_id[2])
                self.rows[row_id] = (text, self.version)
                self._history.append((self.version, row_id, text))
            self._changed.notify_all()

    async def _transact(self, node, body):
        if len(body) > CALL_BYTES:
            return 413, None
        call = json.loads(body)

        def row_id(row):
            return row["table"], row.get("part", ""), row["key"]

        entries = sum(len(call.get(k, ())) for k in ("expected", "writes", "remove"))
        if entries > TXN_ENTRIES:
            return 400, {"error": "more than 100 entries"}
        for row in call.get("writes", ()):
            size = len(b64decode(row["value"]))
            if size > ROW_BYTES:
                self.refused_rows += 1
                if self.refused_rows in (1, 10, 100):
                    self._record(
                        f"store: refused a row of {size} bytes (limit"
                        f" {ROW_BYTES}) from {node}: {row['table']}/"
                        f"{row['key']}; {self.refused_rows} so far"
                    )
                return 400, {"error": f"row of {size} bytes"}
        await asyncio.sleep(TXN_S)
        expected = [row_id(row) for row in call.get("expected", ())]
        if any(
            self._current(row_id(row)) != row["schema_version"]
            for row in call.get("expected", ())
        ):
            rows = [self._row(r, *self.rows.get(r, (None, 0))) for r in expected]
            return 412, self._body(rows=rows)
        changes = [(row_id(row), row["value"]) for row in call.get("writes", ())]
        changes += [
            (row_id(row), None)
            for row in call.get("remove", ())
            if self._current(row_id(row))
        ]
        if expected:
            self.last_conditional_writer = node
        await self.apply(changes)
        return 200, self._body()

    def _get(self, query):
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        table = query["table"], query.get("part", "")
        keys = self._keys.get(table, [])
        end = bisect_left(keys, query["target"]) if "target" in query else len(keys)
        rows, size, has_more = [], 0, False
        for index in range(bisect_left(keys, query.get("from", "")), end):
            text, version = self.rows[*table, keys[index]]
            if text is None:
                continue
            size += len(text)
            if len(rows) == limit or (rows and size > CALL_BYTES):
                has_more = True
                break
            rows.append(self._row((*table, keys[index]), text, version))
        return 200, self._body(rows=rows, has_more=has_more)

    async def _feed(self, query):
        after = int(query["after"])

        def changed():
            return [
                self._row(r, text, version)
                for version, r, text in self._history
                if version > after and r[0] == query["table"]
            ]

        wait_s = min(int(query.get("wait_ms", 0)), 30_000) / 1000
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(changed)
        except TimeoutError:
            pass
        return 200, self._body(rows=changed())
