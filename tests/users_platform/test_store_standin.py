"""Tests of the stand-in of the store."""

from __future__ import annotations

import asyncio
import json
import time

from starlette.requests import Request
from testtools import TestCase

from tests.users_platform.store_standin import StoreStandin

_WAIT_MS = 100
_WRITE_AFTER_S = 0.05
_STALL_S = 0.3


class StoreStandinTest(TestCase):
    """The change feed."""

    def test_feed_lists_all_rows_up_to_its_version(self) -> None:
        """Guards against a change that no reader of the feed ever sees.

        A row is written while the event loop stands still, beyond the end of
        the feed's wait. A reader goes on after the version of the answer.
        """

        async def read() -> tuple[int, list[int]]:
            store = StoreStandin()
            await store.put("op", "config", "")
            query = f"table=op&after={store.version}&wait_ms={_WAIT_MS}"
            request = Request({"type": "http", "query_string": query.encode()})
            feed = asyncio.create_task(store._feed(request))
            await asyncio.sleep(0)
            write = asyncio.create_task(self._write_later(store))
            await asyncio.sleep(0)
            # Stands for an event loop that gets no processor time.
            time.sleep(_STALL_S)  # noqa: ASYNC251
            body = json.loads((await feed).body)
            await write
            versions = [row["schema_version"] for row in body["rows"]]
            return body["schema_version"], versions

        self.assertEqual((2, [2]), asyncio.run(read()))

    @staticmethod
    async def _write_later(store: StoreStandin) -> None:
        await asyncio.sleep(_WRITE_AFTER_S)
        await store.put("op", "config", "")
