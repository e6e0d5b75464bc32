"""Check for routes that are not in force yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.configuration_check.check import Check
from carawaystep.configuration_check.finding_code import FindingCode
from carawaystep.configuration_check.location import Location
from carawaystep.configuration_check.location import Section
from carawaystep.configuration_check.severity import Severity

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawaystep.configuration_check.configuration import CheckSubject
    from carawaystep.configuration_check.finding import Finding


class RouteAddedCheck(Check):
    """Names the routes that the configuration adds."""

    code = FindingCode.ROUTE_ADDED
    severity = Severity.NOTICE
    advice = "nothing waits in it yet; removing it later harms accepted work"

    def run(self, subject: CheckSubject) -> Iterator[Finding]:
        """Yield a finding for each new route."""
        if subject.in_force is None:
            return
        known = {route.name for route in subject.in_force.table.routes}
        for position, route in enumerate(subject.configuration.table.routes):
            if route.name not in known:
                yield self._finding(
                    subject,
                    Location(Section.ROUTES, position),
                    f'"{route.name}" is new and takes calls to'
                    f' "{route.host}{route.path_prefix}"',
                )
