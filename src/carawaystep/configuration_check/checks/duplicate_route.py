"""Check for routes with the same name."""

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


class DuplicateRouteCheck(Check):
    """Finds names that stand for several queues."""

    code = FindingCode.DUPLICATE_ROUTE
    severity = Severity.ERROR
    advice = "give each route a name of its own"

    def run(self, subject: CheckSubject) -> Iterator[Finding]:
        """Yield a finding for each route with the name of an earlier one."""
        first: dict[str, int] = {}
        for position, route in enumerate(subject.configuration.table.routes):
            earlier = first.setdefault(route.name, position)
            if earlier != position:
                yield self._finding(
                    subject,
                    Location(Section.ROUTES, position, ConfiguredField.NAME),
                    f'"{route.name}" is the name of '
                    + subject.path(Location(Section.ROUTES, earlier)),
                )
