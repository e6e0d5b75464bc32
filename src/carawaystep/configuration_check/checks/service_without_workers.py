"""Check for queues whose tasks no worker runs."""

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


class ServiceWithoutWorkersCheck(Check):
    """Finds services of routes that no worker of the fleet runs."""

    code = FindingCode.SERVICE_WITHOUT_WORKERS
    severity = Severity.WARNING
    advice = "start workers of the service before the route gets calls"

    def run(self, subject: CheckSubject) -> Iterator[Finding]:
        """Yield a finding for each route to a service without workers."""
        fleet = subject.fleet
        if fleet is None:
            return
        for position, route in enumerate(subject.configuration.table.routes):
            service = route.service
            if not fleet.pool(service).has_workers:
                yield self._finding(
                    subject,
                    Location(
                        Section.ROUTES, position, ConfiguredField.SERVICE
                    ),
                    f'no worker of the fleet runs tasks of "{service}"',
                )
