"""Check for routes whose calls go to other routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.configuration_check.check import Check
from carawaystep.configuration_check.configured_field import ConfiguredField
from carawaystep.configuration_check.finding_code import FindingCode
from carawaystep.configuration_check.location import Location
from carawaystep.configuration_check.location import Section
from carawaystep.configuration_check.severity import Severity

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawaystep.configuration_check.configuration import CheckSubject
    from carawaystep.configuration_check.finding import Finding


_SHORTEST_PATH = "/"


class ShadowedRouteCheck(Check):
    """Finds routes that the router never returns.

    The shortest path of a route's calls is its prefix. The router returns the
    route for it unless another one takes all paths that begin with the prefix.
    """

    code = FindingCode.SHADOWED_ROUTE
    severity = Severity.WARNING
    advice = "remove the route or change its host or path prefix"

    def run(self, subject: CheckSubject) -> Iterator[Finding]:
        """Yield a finding for each route that another one hides."""
        table = subject.configuration.table
        positions = {
            id(route): position for position, route in enumerate(table.routes)
        }
        for position, route in enumerate(table.routes):
            taken_by = table.resolve(
                route.host, route.path_prefix or _SHORTEST_PATH
            )
            if taken_by is None or taken_by is route:
                continue
            first = Location(Section.ROUTES, positions[id(taken_by)])
            yield self._finding(
                subject,
                Location(
                    Section.ROUTES, position, ConfiguredField.PATH_PREFIX
                ),
                f'all calls to "{route.host}{route.path_prefix}" go to'
                f' "{taken_by.name}" ({subject.path(first)})',
            )
