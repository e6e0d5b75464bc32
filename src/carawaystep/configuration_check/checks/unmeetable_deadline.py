"""Check for deadlines that no run meets."""

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


class UnmeetableDeadlineCheck(Check):
    """Finds work that is late even if it starts at once."""

    code = FindingCode.UNMEETABLE_DEADLINE
    severity = Severity.WARNING
    advice = "allow at least the declared run time"

    def run(self, subject: CheckSubject) -> Iterator[Finding]:
        """Yield a finding for routes and work that are always late."""
        for position, route in enumerate(subject.configuration.table.routes):
            if route.objective_s == 0 and route.stretch < 1:
                yield self._finding(
                    subject,
                    Location(
                        Section.ROUTES, position, ConfiguredField.OBJECTIVE
                    ),
                    "no run of any size is on time with an objective of 0 s"
                    f" and a stretch of {route.stretch:g}",
                )
        for position, work in enumerate(subject.configuration.work):
            if work.due_s is not None and work.due_s < work.run_s:
                yield self._finding(
                    subject,
                    Location(Section.WORK, position, ConfiguredField.RUN_TIME),
                    f"it is due after {work.due_s:g} s, and runs for"
                    f" {work.run_s:g} s as declared",
                )
