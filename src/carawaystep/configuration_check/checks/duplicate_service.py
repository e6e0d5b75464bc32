"""Check for services with the same name."""

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


class DuplicateServiceCheck(Check):
    """Finds services that are declared several times."""

    code = FindingCode.DUPLICATE_SERVICE
    severity = Severity.ERROR
    advice = "declare each service once"

    def run(self, subject: CheckSubject) -> Iterator[Finding]:
        """Yield a finding for each service with the name of an earlier one."""
        first: dict[str, int] = {}
        for position, name in enumerate(subject.configuration.services):
            earlier = first.setdefault(name, position)
            if earlier != position:
                yield self._finding(
                    subject,
                    Location(Section.SERVICES, position, ConfiguredField.NAME),
                    f'"{name}" is the name of '
                    + subject.path(Location(Section.SERVICES, earlier)),
                )
