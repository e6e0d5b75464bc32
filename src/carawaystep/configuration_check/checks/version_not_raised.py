"""Check for a version that the system does not apply."""

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


class VersionNotRaisedCheck(Check):
    """Finds a version that is not higher than the one in force.

    A process never returns to a lower version and applies none twice.
    """

    code = FindingCode.VERSION_NOT_RAISED
    severity = Severity.ERROR
    advice = "raise the version, also to go back to earlier content"

    def run(self, subject: CheckSubject) -> Iterator[Finding]:
        """Yield a finding unless the version rises."""
        if subject.in_force is None:
            return
        version = subject.configuration.table.version
        in_force = subject.in_force.table.version
        if version <= in_force:
            yield self._finding(
                subject,
                Location(Section.HEAD, field=ConfiguredField.VERSION),
                f"version {version} is not higher than {in_force}, which is"
                " in force",
            )
