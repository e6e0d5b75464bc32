"""Tests of the resolver of host names."""

from __future__ import annotations

import asyncio
import socket
from unittest.mock import patch

from result import Ok
from testtools import TestCase

from carawaystep.adapters.http_client.address_resolver import AddressResolver
from carawaystep.adapters.http_client.http_client import HttpClient
from tests.adapters.http_client.scripted_server import response
from tests.adapters.http_client.scripted_server import ScriptedServer


class AddressResolverTest(TestCase):
    """Addresses and names."""

    def test_call_to_an_address_looks_nothing_up(self) -> None:
        """Guards against calls that wait for a thread of the resolver."""

        async def run() -> object:
            async with ScriptedServer([response(b"{}")]) as server:
                client = HttpClient(server.url, 1)
                try:
                    return await client.request("GET", "/x", 2.0, {}, None)
                finally:
                    await client.close()

        with patch("socket.getaddrinfo", side_effect=AssertionError):
            result = asyncio.run(run())
        self.assertIsInstance(result, Ok)

    def test_addresses_of_both_families(self) -> None:
        """Guards against a family that does not match the address."""
        for host, family in (
            ("127.0.0.1", socket.AF_INET),
            ("::1", socket.AF_INET6),
        ):
            (found,) = asyncio.run(AddressResolver().resolve(host, 80))
            self.assertEqual((host, 80), (found["host"], found["port"]))
            self.assertEqual(family, found["family"])

    def test_name_is_looked_up(self) -> None:
        """Guards against names that are taken for addresses."""
        found = asyncio.run(AddressResolver().resolve("localhost", 80))
        self.assertIn("127.0.0.1", [entry["host"] for entry in found])
