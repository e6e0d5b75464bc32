"""Tests of reads that take several calls of the store."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from unittest.mock import AsyncMock
from unittest.mock import patch
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import msgspec
from result import Err
from result import Ok
from testtools import TestCase

from carawaystep.adapters.http_client.http_response import HttpResponse
from carawaystep.store.table_failure import TableOutcomeUnknown
from carawaystep.store.table_failure import TableRefused
from carawaystep.store.table_failure import TableRejected
from carawaystep_platform import store_client
from carawaystep_platform.store_client import StoreClient

_KEYS = [f"{number:02}" for number in range(50)]
_ROWS_PER_PAGE = 10


class _Http:
    """Serves a table of several pages and refuses some of the calls."""

    def __init__(self, refused_calls: range) -> None:
        self._refused_calls = refused_calls
        self.calls = 0

    async def request(
        self, method: str, path: str, *_: object
    ) -> Ok[HttpResponse]:
        self.calls += 1
        if self.calls in self._refused_calls:
            return Ok(HttpResponse(429, {}, b""))
        query = parse_qs(urlsplit(path).query)
        first = query.get("from", [""])[0]
        keys = [key for key in _KEYS if key >= first]
        page = keys[:_ROWS_PER_PAGE]
        body = {
            "schema_version": self.calls,
            "rows": [
                {"key": key, "value": b64encode(b"1").decode()} for key in page
            ],
            "has_more": len(keys) > len(page),
        }
        return Ok(HttpResponse(200, {}, msgspec.json.encode(body)))


class TableReadTest(TestCase):
    """Tables of more rows than one response holds."""

    def _read(self, http: _Http) -> object:
        async def read() -> object:
            client = StoreClient("127.0.0.1:1")
            with (
                patch.object(client, "_http", http),
                patch.object(store_client, "_PAGE_RETRY_INTERVAL_S", 0.0),
            ):
                return await client.changes("submissions", 0)

        return asyncio.run(read())

    def test_read_with_refused_pages_is_completed(self) -> None:
        """Guards against a large table that can never be read.

        A read that starts anew whenever a page is refused does not get to
        the end of a table that is large enough.
        """
        http = _Http(refused_calls=range(4, 100, 4))
        result = self._read(http)
        self.assertIsInstance(result, Ok)
        changes = result.ok_value  # type: ignore[attr-defined]
        self.assertEqual(_KEYS, [row.key for row in changes.rows])
        # The changes after the first page are read from the feed.
        self.assertEqual(1, changes.revision)
        self.assertEqual(6, http.calls)

    def test_read_ends_when_the_store_is_lost(self) -> None:
        """Guards against a read that hides the loss of the store."""
        for refused_calls, calls in (range(1, 100), 1), (range(3, 100), 5):
            http = _Http(refused_calls)
            self.assertIsInstance(self._read(http), Err)
            self.assertEqual(calls, http.calls)

    def test_page_without_rows_is_not_the_end(self) -> None:
        """Guards against taking a part of a table for the whole.

        A leader would start what it did not read.
        """
        body = {"schema_version": 9, "rows": [], "has_more": True}
        response = HttpResponse(200, {}, msgspec.json.encode(body))

        async def read() -> object:
            client = StoreClient("127.0.0.1:1")
            answer = AsyncMock(return_value=Ok(response))
            with patch.object(client._http, "request", answer):
                return await client.changes("submissions", 0)

        self.assertIsInstance(asyncio.run(read()), Err)


class TransactionTest(TestCase):
    """Transactions that the store does not apply."""

    def test_unacceptable_content_is_told_from_an_outage(self) -> None:
        """Guards against repeating what the store will never accept."""

        async def transact(status: int) -> object:
            client = StoreClient("127.0.0.1:1")
            response = HttpResponse(status, {}, b"row of 70000 bytes")
            answer = AsyncMock(return_value=Ok(response))
            with patch.object(client._http, "request", answer):
                return await client.transact([])

        for status, failure in (
            (400, TableRejected),
            (413, TableRejected),
            (403, TableOutcomeUnknown),
            (429, TableRefused),
            (503, TableRefused),
            (500, TableOutcomeUnknown),
        ):
            result = asyncio.run(transact(status))
            self.assertIsInstance(
                result.err_value,  # type: ignore[attr-defined]
                failure,
                str(status),
            )
