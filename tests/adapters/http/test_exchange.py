"""Tests of Exchange without a socket."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.adapters.http import exchange
from carawaystep.adapters.http.exchange import Exchange

if TYPE_CHECKING:
    from starlette.types import Message


class ExchangeTest(TestCase):
    """Tests the timeout for sending a reply."""

    def test_unread_reply_times_out(self) -> None:
        """Guards against a caller that keeps a connection open forever."""
        self.patch(exchange, "_SEND_TIMEOUT_S", 0.02)

        async def block_forever(message: Message | None = None) -> Message:
            await asyncio.Event().wait()
            raise AssertionError("not reached")

        async def main() -> None:
            call = Exchange({"headers": []}, block_forever, block_forever)
            start = {"type": "http.response.start", "headers": []}
            with self.assertRaises(TimeoutError):
                await call.send(start)

        asyncio.run(main())
