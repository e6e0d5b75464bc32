"""The result line of the demo."""

from __future__ import annotations

from dataclasses import asdict
from dataclasses import dataclass
import json
from math import ceil
from typing import TYPE_CHECKING

from carawaystep.job.job_state import JobState
from carawaystep.request.outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from tools.audit_findings import AuditFindings
    from tools.call_record import CallRecord

# Status of a repeat whose first run is not known to have ended.
_REPEAT = 409


@dataclass(frozen=True, slots=True)
class DemoSummary:
    """Counts of one run.

    :param answered: calls that were answered
    :param not_run: calls that were told not-run
    :param unknown: calls told unknown or whose connection broke
    :param jobs_done: accepted jobs that were done
    :param executed_twice: keys, requests and jobs that ran more than once
    :param overcommitted: limits of workers that were exceeded
    :param p50_ms: median latency of answered calls
    :param p99_ms: 99th percentile of the latency of answered calls
    :param jobs_accepted: jobs that entries accepted
    :param jobs_open: accepted jobs that had not ended at the limit
    :param disagreements: callers that were told something untrue
    :param repeats_refused: calls told unknown because an earlier request
        with their key was not known to have ended; a part of unknown
    :param submissions_repeated: submissions of jobs that were not accepted
        and sent again
    :param rejected: calls refused before they became requests
    :param forced: processes that needed SIGKILL at the end
    :param error: why the run was cut short
    """

    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    jobs_done: int = 0
    executed_twice: int = 0
    overcommitted: int = 0
    p50_ms: float | None = None
    p99_ms: float | None = None
    jobs_accepted: int = 0
    jobs_open: int = 0
    disagreements: int = 0
    repeats_refused: int = 0
    submissions_repeated: int = 0
    rejected: int = 0
    forced: int = 0
    error: str | None = None

    @property
    def passed(self) -> bool:
        """Tell whether the run kept every invariant that it checks."""
        violations = (
            self.executed_twice + self.overcommitted + self.disagreements
        )
        return (
            self.error is None
            and violations == 0
            and self.answered > 0
            and self.jobs_accepted > 0
            and self.jobs_open == 0
        )

    def line(self) -> str:
        """Return the JSON line."""
        return json.dumps(asdict(self))


def summarize(
    calls: Sequence[CallRecord],
    jobs: Mapping[str, JobState],
    jobs_open: int,
    findings: AuditFindings,
) -> DemoSummary:
    """Count what a run did.

    :param calls: every call that may have reached an entry
    :param jobs: last known state of each accepted job
    :param jobs_open: accepted jobs that have not ended
    :param findings: result of the audit
    """
    outcomes = [call.outcome for call in calls]
    latencies = sorted(
        call.latency_s for call in calls if call.outcome is Outcome.ANSWERED
    )
    return DemoSummary(
        answered=outcomes.count(Outcome.ANSWERED),
        not_run=outcomes.count(Outcome.NOT_RUN),
        unknown=outcomes.count(Outcome.UNKNOWN),
        jobs_done=list(jobs.values()).count(JobState.DONE),
        executed_twice=len(findings.executed_twice),
        overcommitted=len(findings.overcommitted),
        p50_ms=_percentile_ms(latencies, 0.5),
        p99_ms=_percentile_ms(latencies, 0.99),
        jobs_accepted=len(jobs),
        jobs_open=jobs_open,
        disagreements=len(findings.disagreements),
        repeats_refused=[call.status for call in calls].count(_REPEAT),
        rejected=outcomes.count(None),
    )


def _percentile_ms(ordered: list[float], share: float) -> float | None:
    if not ordered:
        return None
    rank = max(ceil(share * len(ordered)), 1)
    return round(ordered[rank - 1] * 1000, 1)
