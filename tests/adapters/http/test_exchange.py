"""Tests of an exchange without a socket."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.adapters.http import exchange
from carawaystep.adapters.http.exchange import Exchange

if TYPE_CHECKING:
    from starlette.types import Message


class ExchangeTest(TestCase):
    """Limits of time."""

    def test_reply_that_nobody_reads_is_given_up(self) -> None:
        """Guards against a caller that holds a connection for ever."""
        self.patch(exchange, "_SEND_TIMEOUT_S", 0.02)

        async def stuck(message: Message | None = None) -> Message:
            await asyncio.Event().wait()
            raise AssertionError("not reached")

        async def main() -> None:
            call = Exchange({"headers": []}, stuck, stuck)
            start = {"type": "http.response.start", "headers": []}
            with self.assertRaises(TimeoutError):
                await call.send(start)

        asyncio.run(main())
