"""Tests of how the load generator records and repeats calls."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
import json
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.document.service_kind import ServiceKind
from carawaystep.request.outcome import Outcome
from tests.tools.scripted_entry import ScriptedEntry
from tools.entry_rotation import EntryRotation
from tools.example_service import ExampleService
from tools.http_caller import HttpCaller
from tools.load_generator import LoadGenerator
from tools.load_plan import LoadPlan
from tools.port_allocator import PortAllocator

if TYPE_CHECKING:
    from tools.call_record import CallRecord

_COMPLETE_BODY = b"{}"
_NO_RESPONSE = None


async def _run(
    *bodies: bytes | None,
    idempotent: bool,
    refusing_url: str | None = None,
    missing_bytes: int = 0,
) -> tuple[tuple[CallRecord, ...], list[tuple[str | None, ...]]]:
    """Send one request through scripted entries.

    :param bodies: response body of each entry, None for a broken connection
    :param idempotent: whether the service is idempotent
    :param refusing_url: entry that refuses connections, the first one to be
        called
    :param missing_bytes: bytes by which each response is incomplete
    :returns: records of the calls, and the keys that each entry received
    """
    kind = ServiceKind.LATENCY_CRITICAL
    service = ExampleService("charge", kind, idempotent)
    plan = LoadPlan(1, 0.0, duration_s=10.0, max_requests=1, repeat_every=1)
    async with AsyncExitStack() as stack:
        entries = [
            await stack.enter_async_context(ScriptedEntry(body, missing_bytes))
            for body in bodies
        ]
        urls = [entry.url for entry in entries]
        rotation = EntryRotation(
            [refusing_url, *urls] if refusing_url else urls
        )
        caller = await stack.enter_async_context(HttpCaller())
        generator = LoadGenerator(service, plan, rotation, caller, "t")
        await generator.run()
        return generator.records, [entry.keys for entry in entries]


class LoadGeneratorTest(TestCase):
    """One request through scripted entries."""

    def test_idempotent_request_is_sent_to_another_entry(self) -> None:
        """Guards against giving up after a broken connection."""
        records, received = asyncio.run(
            _run(_NO_RESPONSE, _COMPLETE_BODY, idempotent=True)
        )
        self.assertEqual(
            [Outcome.UNKNOWN, Outcome.ANSWERED], [r.outcome for r in records]
        )
        self.assertEqual([(None,), (None,)], received)

    def test_broken_connection_is_unknown_and_not_sent_again(self) -> None:
        """Guards against a second charge caused by the load generator."""
        records, received = asyncio.run(_run(_NO_RESPONSE, idempotent=False))
        self.assertEqual([Outcome.UNKNOWN], [r.outcome for r in records])
        self.assertEqual(1, len(received[0]))

    def test_short_body_is_unknown(self) -> None:
        """Guards against counting an incomplete response as an answer."""
        records, _ = asyncio.run(
            _run(_COMPLETE_BODY, idempotent=False, missing_bytes=1)
        )
        self.assertEqual([Outcome.UNKNOWN], [r.outcome for r in records])

    def test_answer_is_compared_with_the_request(self) -> None:
        """Guards against accepting the answer to another request."""
        body = json.dumps({"sha256": "0" * 64}).encode()
        records, _ = asyncio.run(_run(body, idempotent=False))
        self.assertEqual([False], [r.matches_request for r in records])

    def test_repeat_uses_one_key_at_two_entries(self) -> None:
        """Guards against a load generator that never sends duplicates."""
        _, received = asyncio.run(
            _run(_COMPLETE_BODY, _COMPLETE_BODY, idempotent=False)
        )
        self.assertEqual(received[0], received[1])
        self.assertIsNotNone(received[0][0])

    def test_refused_connection_is_no_call(self) -> None:
        """Guards against counting calls that were never sent as unknown."""
        ports = PortAllocator()
        self.addCleanup(ports.close)
        url = f"http://127.0.0.1:{ports.reserve()}"
        records, _ = asyncio.run(
            _run(_COMPLETE_BODY, idempotent=True, refusing_url=url)
        )
        self.assertEqual([Outcome.ANSWERED], [r.outcome for r in records])
