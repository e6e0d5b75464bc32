"""Check for limits of calls that can be taken back."""

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


class LimitChangedCheck(Check):
    """Names changed limits that refuse no body which was accepted before."""

    code = FindingCode.LIMIT_CHANGED
    severity = Severity.NOTICE
    advice = "a later version can take it back"

    def run(self, subject: CheckSubject) -> Iterator[Finding]:
        """Yield a finding for each changed limit."""
        if subject.in_force is None:
            return
        before = subject.in_force.table
        after = subject.configuration.table
        if before.max_body_bytes < after.max_body_bytes:
            yield self._finding(
                subject,
                Location(Section.LIMITS, field=ConfiguredField.MAX_BODY),
                f"{before.max_body_bytes} -> {after.max_body_bytes} bytes",
            )
        if before.body_timeout_s != after.body_timeout_s:
            yield self._finding(
                subject,
                Location(Section.LIMITS, field=ConfiguredField.BODY_TIMEOUT),
                f"{before.body_timeout_s:g} s -> {after.body_timeout_s:g} s",
            )
