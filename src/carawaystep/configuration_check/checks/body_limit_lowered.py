"""Check for a lower limit of bodies."""

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


class BodyLimitLoweredCheck(Check):
    """Finds a limit under which a repeated submission can be refused.

    A caller without an answer repeats its submission. When the repeat is
    refused as too large, it takes work that was accepted for refused.
    """

    code = FindingCode.BODY_LIMIT_LOWERED
    severity = Severity.WARNING
    advice = "lower it only if no caller sends bodies of the former size"

    def run(self, subject: CheckSubject) -> Iterator[Finding]:
        """Yield a finding if the limit is lower than the one in force."""
        if subject.in_force is None:
            return
        before = subject.in_force.table.max_body_bytes
        after = subject.configuration.table.max_body_bytes
        if after < before:
            yield self._finding(
                subject,
                Location(Section.LIMITS, field=ConfiguredField.MAX_BODY),
                f"{before} -> {after} bytes: a repeat of an accepted"
                " submission may be refused",
            )
