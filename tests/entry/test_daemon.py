"""Tests of the daemon around an entry node."""

from __future__ import annotations

import asyncio
from unittest.mock import AsyncMock
from unittest.mock import patch

from testtools import TestCase

from carawaystep.access.token_table import TokenTable
from carawaystep.entry import supervisor
from carawaystep.entry.daemon import _Daemon
from carawaystep.entry.daemon import EXIT_BROKEN_INVARIANT
from carawaystep.entry.entry_node import EntryNode
from carawaystep.errors.broken_invariant import BrokenInvariant
from carawaystep.settings.entry_settings import EntrySettings
from tools.port_allocator import LOOPBACK_HOST
from tools.port_allocator import PortAllocator

_SERVE_TIMEOUT_S = 5.0


class DaemonTest(TestCase):
    """Start of the node."""

    def _create_settings(self) -> EntrySettings:
        ports = PortAllocator()
        self.addCleanup(ports.close)
        http_port, peer_port = ports.reserve(), ports.reserve()
        ports.hand_over((http_port, peer_port))
        url = f"http://{LOOPBACK_HOST}:{http_port}"
        return EntrySettings.model_validate(
            {
                "name": "e1",
                "availability_zone": "arima",
                "http": {"host": LOOPBACK_HOST, "port": http_port},
                "advertised_url": url,
                "peer_address": f"tcp://{LOOPBACK_HOST}:{peer_port}",
                "platform": {"url": url},
                "access": {"tokens_file": "tokens.yaml"},
            }
        )

    def test_failed_start_is_repeated_and_a_broken_invariant_reported(
        self,
    ) -> None:
        """Guards against a process that never serves and never ends."""
        settings = self._create_settings()
        start = AsyncMock(
            side_effect=[RuntimeError("first"), BrokenInvariant("second")]
        )

        async def serve() -> int:
            daemon = _Daemon(settings, TokenTable(()))
            async with asyncio.timeout(_SERVE_TIMEOUT_S):
                return await daemon.serve()

        with (
            patch.object(EntryNode, "start", start),
            patch.object(supervisor, "_RESTART_DELAY_S", 0.0),
        ):
            exit_code = asyncio.run(serve())
        self.assertEqual(EXIT_BROKEN_INVARIANT, exit_code)
        self.assertEqual(2, start.await_count)
