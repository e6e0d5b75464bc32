"""Tests of the deployment that the other tests run."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from contextlib import suppress
from socket import create_server

from testtools import TestCase

from tests.users_platform.deployment import Deployment
from tools.port_allocator import LOOPBACK_HOST


def _listen_if_free(stack: ExitStack, port: int) -> None:
    """Listen on a port like a server with SO_REUSEADDR, unless it is taken."""
    with suppress(OSError):
        stack.enter_context(create_server((LOOPBACK_HOST, port)))


class DeploymentTest(TestCase):
    """Ports of servers that start later."""

    def test_ports_are_reserved_until_the_servers_start(self) -> None:
        """Guards against a start that fails when a port is taken before."""

        async def run() -> None:
            deployment = Deployment(nodes=2, workers=1, run_s=0.1)
            with ExitStack() as stack:
                for node in deployment.nodes:
                    _listen_if_free(stack, node.port)
                try:
                    await deployment.start()
                finally:
                    await deployment.stop()

        asyncio.run(run())
