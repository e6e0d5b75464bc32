"""Base class of the tests that call the front end in memory."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from testtools import TestCase

from tests.adapters.http.front_end import CALLER
from tests.adapters.http.front_end import FrontEnd

if TYPE_CHECKING:
    from tests.adapters.http.front_end import HttpReply


class FrontEndTestCase(TestCase):
    """Creates a front end for each test."""

    def setUp(self) -> None:
        super().setUp()
        self.front_end = FrontEnd()

    def call(
        self,
        method: str,
        path: str,
        token: str | None = CALLER,
        body: bytes = b"",
        *headers: tuple[str, str],
    ) -> HttpReply:
        return asyncio.run(
            self.front_end.call(method, path, token, body, headers)
        )

    def assert_error(self, status: int, error: str, reply: HttpReply) -> None:
        self.assertEqual((status, error), (reply.status, reply.json["error"]))
        self.assertTrue(reply.json["detail"])
