"""Tests of resolving calls to queues."""

from __future__ import annotations

import time

from hypothesis import given
from hypothesis import strategies
from testtools import TestCase

from carawaystep.routing.queue_route import QueueRoute
from carawaystep.routing.route_table import RouteTable

_ROUTE_COUNT = 10_000
_MAX_TIME_S = 0.5

_hosts = strategies.sampled_from(("a", "b"))
_paths = strategies.text("/x", max_size=5)


def _table(addresses: list[tuple[str, str]]) -> RouteTable:
    routes = tuple(
        QueueRoute(f"r-{number}", host, prefix, "desk", 0, 3, 1.5, 0.25)
        for number, (host, prefix) in enumerate(addresses)
    )
    return RouteTable(1, routes, 1000, 1.0)


class RouteTableTest(TestCase):
    """The longest prefix decides, then the order of the routes."""

    @given(strategies.lists(strategies.tuples(_hosts, _paths)), _hosts, _paths)
    def test_longest_prefix_is_found(
        self, addresses: list[tuple[str, str]], host: str, path: str
    ) -> None:
        """Guards against an index that resolves other than a search does."""
        table = _table(addresses)
        matching = [
            route
            for route in table.routes
            if route.host == host and path.startswith(route.path_prefix)
        ]
        expected = max(
            matching, key=lambda route: len(route.path_prefix), default=None
        )
        self.assertIs(expected, table.resolve(host.upper(), path))

    def test_many_routes_of_a_host(self) -> None:
        """Guards against a call that is compared with each route in turn."""
        addresses = [("a", f"/{number}/") for number in range(_ROUTE_COUNT)]
        table = _table(addresses)
        begin = time.process_time()
        for host, prefix in addresses:
            self.assertIsNotNone(table.resolve(host, prefix))
        self.assertLess(time.process_time() - begin, _MAX_TIME_S)
