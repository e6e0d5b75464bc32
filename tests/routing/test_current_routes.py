"""Tests of the route table in force."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.routing.current_routes import CurrentRoutes
from carawaystep.routing.route_table import RouteTable


class CurrentRoutesTest(TestCase):
    """Versions that are read in any order."""

    def test_older_version_is_not_applied(self) -> None:
        """Guards against a withdrawn route that is in force again."""
        routes = CurrentRoutes()
        newer = RouteTable(7, (), 1000, 1.0)
        self.assertTrue(routes.apply(newer))
        for version in (6, 7):
            self.assertFalse(routes.apply(RouteTable(version, (), 1, 1.0)))
        self.assertIs(newer, routes.table)
