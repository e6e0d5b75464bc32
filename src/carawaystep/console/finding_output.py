"""Output of the findings about a configuration."""

from __future__ import annotations

from collections import Counter
from dataclasses import asdict
import json
import sys
from typing import TYPE_CHECKING

from carawaystep.configuration_check.severity import Severity
from carawaystep.console.problem_output import print_problems

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.configuration_check.finding import Finding
    from carawaystep.validation.problem import Problem


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
    rows = [asdict(finding) for finding in findings]
    print(json.dumps({"ok": accepted, "findings": rows}))


def print_checked_documents(
    problems: Iterable[Problem], findings: Iterable[Finding]
) -> None:
    """Write one line for each problem and finding to stderr."""
    print_problems(problems)
    for finding in findings:
        print(finding, file=sys.stderr)


def print_checked_documents_as_json(
    problems: Iterable[Problem], findings: Iterable[Finding], accepted: bool
) -> None:
    """Write one JSON object with all problems and findings to stdout.

    :param accepted: whether the documents may be applied
    """
    report = {
        "ok": accepted,
        "problems": [asdict(problem) for problem in problems],
        "findings": [asdict(finding) for finding in findings],
    }
    print(json.dumps(report))


def _describe_counts(counts: Counter[Severity]) -> str:
    return ", ".join(
        f"{counts[severity]} {severity}{'' if counts[severity] == 1 else 's'}"
        for severity in Severity
    )
