"""Check for a limit that no submission meets."""

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


class BodyLimitTooSmallCheck(Check):
    """Finds a limit of bodies that refuses every submission."""

    code = FindingCode.BODY_LIMIT_TOO_SMALL
    severity = Severity.ERROR
    advice = "raise the limit to the size of the largest submission"

    def run(self, subject: CheckSubject) -> Iterator[Finding]:
        """Yield a finding if the limit is below the smallest submission."""
        limit = subject.configuration.table.max_body_bytes
        if limit < subject.smallest_body_bytes:
            yield self._finding(
                subject,
                Location(Section.LIMITS, field=ConfiguredField.MAX_BODY),
                f"bodies may have {limit} bytes, and the smallest submission"
                f" has {subject.smallest_body_bytes}",
            )
