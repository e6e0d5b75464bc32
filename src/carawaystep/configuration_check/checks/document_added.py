"""Check for services without a document in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.configuration_check.check import Check
from carawaystep.configuration_check.finding_code import FindingCode
from carawaystep.configuration_check.location import Location
from carawaystep.configuration_check.location import Section
from carawaystep.configuration_check.severity import Severity

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawaystep.configuration_check.configuration import CheckSubject
    from carawaystep.configuration_check.finding import Finding


class DocumentAddedCheck(Check):
    """Names the services that get their first document."""

    code = FindingCode.DOCUMENT_ADDED
    severity = Severity.NOTICE
    advice = "nothing waits for it yet"

    def run(self, subject: CheckSubject) -> Iterator[Finding]:
        """Yield a finding for each new service."""
        if subject.in_force is None:
            return
        known = {spec.service for spec in subject.in_force.documents}
        for position, spec in enumerate(subject.configuration.documents):
            if spec.service not in known:
                yield self._finding(
                    subject,
                    Location(Section.WORK, position),
                    f'service "{spec.service}" is new',
                )
