"""Check for routes to services that are not declared."""

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


_MAX_SHOWN_NAMES = 5


class UnknownServiceCheck(Check):
    """Finds services of routes that the configuration does not declare.

    A configuration that declares no service at all leaves them open.
    """

    code = FindingCode.UNKNOWN_SERVICE
    severity = Severity.ERROR
    advice = "correct the name or declare the service"

    def run(self, subject: CheckSubject) -> Iterator[Finding]:
        """Yield a finding for each route to an unknown service."""
        declared = frozenset(subject.configuration.services)
        if not declared:
            return
        names = sorted(declared)
        shown = ", ".join(names[:_MAX_SHOWN_NAMES])
        if len(names) > _MAX_SHOWN_NAMES:
            shown += ", ..."
        for position, route in enumerate(subject.configuration.table.routes):
            if route.service not in declared:
                yield self._finding(
                    subject,
                    Location(
                        Section.ROUTES, position, ConfiguredField.SERVICE
                    ),
                    f'service "{route.service}" is not declared (declared:'
                    f" {shown})",
                )
