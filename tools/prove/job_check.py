"""Accepted jobs end, and stay as they ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from carawaystep.job.job_state import JobState
    from tools.ledger import Ledger
    from tools.prove.violation_log import ViolationLog


class JobCheck:
    """Compares the jobs that callers know with the ledgers."""

    def __init__(self, log: ViolationLog) -> None:
        """Create a check.

        :param log: takes the results
        """
        self._log = log

    def judge_open(self, open_jobs: Mapping[str, JobState]) -> None:
        """Check that no accepted job is open after the limit."""
        self._log.check(
            not open_jobs,
            f"{len(open_jobs)} jobs have not ended, such as"
            f" {[(job, str(state)) for job, state in open_jobs.items()][:5]}",
        )

    def judge(
        self, done_reported_at: Mapping[str, float], ledgers: Sequence[Ledger]
    ) -> None:
        """Check that no job started after a caller learned of its end."""
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
        self._log.check(
            not late, f"jobs started after they were told done: {late[:5]}"
        )
