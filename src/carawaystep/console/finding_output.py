"""Output of the findings about a configuration."""

from __future__ import annotations

from collections import Counter
from dataclasses import asdict
import json
from typing import TYPE_CHECKING

from carawaystep.configuration_check.severity import Severity

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.configuration_check.finding import Finding


def print_findings(source: str, findings: Iterable[Finding]) -> None:
    """Write one line for each finding and their numbers to stdout.

    :param source: name of the checked file
    """
    counts: Counter[Severity] = Counter()
    for finding in findings:
        counts[finding.severity] += 1
        print(f"{source}: {finding}")
    print(f"{source}: {_describe_counts(counts)}")


def print_findings_as_json(
    findings: Iterable[Finding], accepted: bool
) -> None:
    """Write one JSON object with all findings to stdout.

    :param accepted: whether the configuration may be used
    """
    print(json.dumps({"ok": accepted, "findings": finding_rows(findings)}))


def finding_rows(findings: Iterable[Finding]) -> list[dict[str, str]]:
    """Return the findings as JSON objects."""
    return [asdict(finding) for finding in findings]


def _describe_counts(counts: Counter[Severity]) -> str:
    return ", ".join(
        f"{counts[severity]} {severity}{'' if counts[severity] == 1 else 's'}"
        for severity in Severity
    )
