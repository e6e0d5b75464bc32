"""Checks that accepted jobs end and do not run again afterwards."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from carawaystep.job.job_state import JobState
    from tools.ledger import Ledger
    from tools.prove.violation_log import ViolationLog


class JobCheck:
    """Checks job states known to callers against workers' ledgers."""

    def __init__(self, violations: ViolationLog) -> None:
        """Create a check.

        :param violations: records the result of each check
        """
        self._violations = violations

    def check_open_jobs(self, open_jobs: Mapping[str, JobState]) -> None:
        """Check that no accepted job is still open after the wait.

        :param open_jobs: last known state by job id
        """
        self._violations.record_check(
            not open_jobs,
            f"{len(open_jobs)} jobs have not ended, for example"
            f" {[(job, str(state)) for job, state in open_jobs.items()][:5]}",
        )

    def check_executions(
        self, done_reported_at: Mapping[str, float], ledgers: Sequence[Ledger]
    ) -> None:
        """Check that no job started after it was reported as done.

        :param done_reported_at: when a caller first saw each job done, seconds
            of the monotonic clock
        :param ledgers: ledgers of all workers, with those of killed ones
        """
        late = [
            (
                execution.id,
                round(execution.start - done_reported_at[execution.id]),
            )
            for ledger in ledgers
            for execution in ledger.executions
            if execution.kind == "task"
            and execution.start
            > done_reported_at.get(execution.id, float("inf"))
        ]
        self._violations.record_check(
            not late, f"jobs started after they were reported done: {late[:5]}"
        )
