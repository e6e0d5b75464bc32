"""Runs checks over a configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.configuration_check.severity import Severity

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.configuration_check.check import Check
    from carawaystep.configuration_check.configuration import CheckSubject
    from carawaystep.configuration_check.finding import Finding

_ORDER = {severity: number for number, severity in enumerate(Severity)}


class ConfigurationChecker:
    """Runs a list of checks."""

    def __init__(self, checks: Iterable[Check]) -> None:
        """Create a checker.

        :param checks: the checks, in the order of their findings
        """
        self._checks = tuple(checks)

    def check(self, subject: CheckSubject) -> tuple[Finding, ...]:
        """Return the findings, errors first and notices last."""
        findings = [
            finding for check in self._checks for finding in check.run(subject)
        ]
        findings.sort(key=lambda finding: _ORDER[finding.severity])
        return tuple(findings)


def is_accepted(findings: Iterable[Finding], strict: bool) -> bool:
    """Tell whether findings allow the use of a configuration.

    :param strict: whether warnings count as errors
    """
    refused = {Severity.ERROR}
    if strict:
        refused.add(Severity.WARNING)
    return all(finding.severity not in refused for finding in findings)
