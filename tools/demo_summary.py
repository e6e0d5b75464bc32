"""Result of the demo, printed as one line of JSON."""

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

# Response to a duplicate while the first request's outcome is unknown.
_STATUS_CONFLICT = 409


@dataclass(frozen=True, slots=True)
class DemoSummary:
    """Outcomes, latencies and violations of one run.

    :param answered: calls with the outcome answered
    :param not_run: calls with the outcome not-run
    :param unknown: calls with the outcome unknown or a broken connection
    :param jobs_done: accepted jobs in the state done
    :param executed_twice: keys, requests and jobs that ran more than once
    :param overcommitted: limits of workers that were exceeded
    :param p50_ms: median latency of answered calls
    :param p99_ms: 99th percentile of the latency of answered calls
    :param jobs_accepted: jobs that entries accepted
    :param jobs_open: accepted jobs that had not ended at the timeout
    :param disagreements: outcomes told to callers that the ledgers
        contradict
    :param repeats_refused: duplicates refused because the outcome of the
        first request with their key was unknown; included in unknown
    :param submissions_repeated: submissions of jobs that were not accepted
        and sent again
    :param rejected: calls rejected before they became requests
    :param forced: processes that did not stop after SIGTERM
    :param error: why the run was aborted, None when it was not
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
        """Tell whether all checks passed and all jobs ended."""
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

    def to_json_line(self) -> str:
        """Return the summary as one line of JSON."""
        return json.dumps(asdict(self))


def summarize(
    calls: Sequence[CallRecord],
    jobs: Mapping[str, JobState],
    jobs_open: int,
    findings: AuditFindings,
) -> DemoSummary:
    """Summarize the calls, jobs and findings of a run.

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
        repeats_refused=[call.status for call in calls].count(
            _STATUS_CONFLICT
        ),
        rejected=outcomes.count(None),
    )


def _percentile_ms(sorted_s: list[float], fraction: float) -> float | None:
    if not sorted_s:
        return None
    rank = max(ceil(fraction * len(sorted_s)), 1)
    return round(sorted_s[rank - 1] * 1000, 1)
