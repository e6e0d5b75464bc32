"""Check for routes that the configuration drops."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.configuration_check.check import Check
from carawaystep.configuration_check.checks.route_change import (
    describe_new_destination,
)
from carawaystep.configuration_check.finding_code import FindingCode
from carawaystep.configuration_check.location import Location
from carawaystep.configuration_check.location import Section
from carawaystep.configuration_check.severity import Severity

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawaystep.configuration_check.configuration import CheckSubject
    from carawaystep.configuration_check.finding import Finding


class RouteRemovedCheck(Check):
    """Names the routes that are in force and left out.

    Accepted work runs on, and its callers cannot ask for it any more.
    """

    code = FindingCode.ROUTE_REMOVED
    severity = Severity.WARNING
    advice = "keep the route until its accepted work has ended"

    def run(self, subject: CheckSubject) -> Iterator[Finding]:
        """Yield a finding for each removed route."""
        if subject.in_force is None:
            return
        table = subject.configuration.table
        kept = {route.name for route in table.routes}
        for position, route in enumerate(subject.in_force.table.routes):
            if route.name in kept:
                continue
            yield self._finding(
                subject,
                Location(Section.ROUTES_IN_FORCE, position),
                f'"{route.name}" is removed: its accepted work runs on, and'
                " its calls " + describe_new_destination(table, route),
            )
