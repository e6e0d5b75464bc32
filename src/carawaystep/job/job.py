"""One job and the rules of its attempts."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace

from carawaystep.errors.broken_invariant import BrokenInvariant
from carawaystep.job.job_lifecycle import JobLifecycle
from carawaystep.job.job_state import JobState

_LIFECYCLE = JobLifecycle()
_MAX_URGENCY = 100.0


@dataclass(frozen=True, slots=True)
class Job:
    """A row of the table ``jobs``.

    Jobs are values: each rule returns the changed job, which takes effect
    only when its compare-and-set on ``version`` succeeds.

    :param id: two hex digits of shard, ``-``, 30 hex digits
    :param service: name of the service
    :param version: row version, 0 before the insert
    :param state: present state
    :param submitted_at: wall-clock time in seconds, for urgency only
    :param due_s: seconds from submission until it is due
    :param run_s: declared run time in seconds, None for endless work
    :param attempt: number of the last attempt, 0 before the first
    :param failures: failed attempts
    :param worker: worker of the present attempt, empty when queued
    :param epoch: ownership epoch of the present attempt's assignment
    :param checkpoint: object key to resume from, or None
    :param standing: True for a replica of a standing service
    :param reason: why it was parked or cancelled
    :param input: JSON text that the caller submitted
    """

    id: str
    service: str
    version: int
    state: JobState
    submitted_at: float
    due_s: float
    run_s: float | None
    attempt: int = 0
    failures: int = 0
    worker: str = ""
    epoch: int = 0
    checkpoint: str | None = None
    standing: bool = False
    reason: str = ""
    input: str = "null"

    @property
    def shard(self) -> str:
        """Return the two hex digits that decide who claims it first."""
        return self.id[:2]

    @property
    def ended(self) -> bool:
        """Tell whether it will never run again."""
        return self.state in (
            JobState.DONE,
            JobState.PARKED,
            JobState.CANCELLED,
        )

    @property
    def running(self) -> bool:
        """Tell whether an attempt may be running."""
        return self.state in (
            JobState.ASSIGNED,
            JobState.CHECKPOINTING,
            JobState.CANCELLING,
        )

    def at_version(self, version: int) -> Job:
        """Return the job as stored under a row version."""
        return replace(self, version=version)

    def urgency(self, declared: int, wall_now: float) -> float:
        """Return the urgency after waiting.

        It rises linearly from the declared urgency at submission to 100 at
        the due time, so that a recheck is never starved.

        :param declared: urgency in the document, 0 to 100
        :param wall_now: present wall-clock time in seconds
        """
        age_s = max(0.0, wall_now - self.submitted_at)
        share = min(1.0, age_s / self.due_s) if self.due_s > 0 else 1.0
        return declared + (_MAX_URGENCY - declared) * share

    def assign(self, worker: str, epoch: int) -> Job:
        """Return the job with its next attempt given to a worker."""
        return replace(
            self._moved("assign"),
            attempt=self.attempt + 1,
            worker=worker,
            epoch=epoch,
        )

    def is_attempt(self, worker: str, attempt: int) -> bool:
        """Tell whether an attempt at a worker is the present one."""
        return (
            self.running and self.worker == worker and self.attempt == attempt
        )

    def finish(self) -> Job:
        """Return the job after its attempt is done.

        A standing replica is queued again, because it must keep running.
        """
        if self.standing and self.state is not JobState.CANCELLING:
            return self.requeue(self.checkpoint)
        return replace(self._moved("finish"), worker="")

    def fail(self, max_attempts: int, detail: str) -> Job:
        """Return the job after its attempt failed.

        :param max_attempts: failures after which it is parked
        :param detail: the worker's reason
        """
        failed = replace(self, failures=self.failures + 1)
        if not self.standing and failed.failures >= max_attempts:
            return failed.park(detail)
        return replace(failed.requeue(self.checkpoint), reason=detail)

    def requeue(self, checkpoint: str | None) -> Job:
        """Return the job ready for its next attempt.

        A job that is being cancelled ends here instead.

        :param checkpoint: object key to resume from, or None
        """
        return replace(
            self._moved("requeue"), worker="", epoch=0, checkpoint=checkpoint
        )

    def requeue_attempt(self, worker: str, attempt: int) -> Job | None:
        """Return the job ready again, None when the attempt is not present.

        :param worker: worker of the attempt that has certainly ended
        :param attempt: number of that attempt
        """
        if not self.is_attempt(worker, attempt):
            return None
        return self.requeue(self.checkpoint)

    def cancel(self) -> Job:
        """Return the job on its way to cancellation."""
        return replace(self._moved("cancel"), reason="cancelled")

    def revive(self) -> Job:
        """Return a cancelled replica of a standing service queued again."""
        return replace(self._moved("revive"), reason="", failures=0)

    def park(self, reason: str) -> Job:
        """Return the job set aside because it can never run."""
        return replace(self._moved("park"), worker="", reason=reason)

    def _moved(self, trigger: str) -> Job:
        state = _LIFECYCLE.next_state(self.state, trigger)
        if state is None:
            raise BrokenInvariant(
                f"job {self.id}: {trigger} is not allowed in {self.state}"
            )
        return replace(self, state=state)
