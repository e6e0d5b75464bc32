"""A job and the rules that govern its attempts."""

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
    """A job; ``JobRow`` is its stored form.

    Each transition returns a new job. It takes effect only when the
    compare-and-set of the row on ``version`` succeeds.

    :param id: shard as two hex digits, ``-``, 30 hex digits
    :param service: name of the service
    :param version: row version, 0 before the insert
    :param state: current state
    :param submitted_at: wall-clock time in seconds, used for urgency only
    :param due_s: seconds from submission to the due time
    :param run_s: declared run time in seconds, None if it never completes
    :param attempt: number of the latest attempt, 0 before the first
    :param failures: number of failed attempts
    :param worker: worker of the current attempt, empty when queued
    :param epoch: ownership epoch under which the attempt was assigned
    :param checkpoint: object key to resume from, or None
    :param standing: True for a replica of a standing service
    :param reason: why it was parked or cancelled, or last failed
    :param input: JSON text submitted by the caller
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
        """Return the shard, which decides which entry claims it first."""
        return self.id[:2]

    @property
    def ended(self) -> bool:
        """Return whether the job is done, parked or cancelled."""
        return self.state in (
            JobState.DONE,
            JobState.PARKED,
            JobState.CANCELLED,
        )

    @property
    def running(self) -> bool:
        """Return whether an attempt may be running."""
        return self.state in (
            JobState.ASSIGNED,
            JobState.CHECKPOINTING,
            JobState.CANCELLING,
        )

    def at_version(self, version: int) -> Job:
        """Return a copy with the given row version."""
        return replace(self, version=version)

    def urgency(self, declared: int, wall_now: float) -> float:
        """Return the urgency, raised with age to prevent starvation.

        It grows linearly from the declared urgency at submission to 100 at
        the due time.

        :param declared: urgency from the service document, 0 to 100
        :param wall_now: current wall-clock time in seconds
        """
        age_s = max(0.0, wall_now - self.submitted_at)
        share = min(1.0, age_s / self.due_s) if self.due_s > 0 else 1.0
        return declared + (_MAX_URGENCY - declared) * share

    def assign(self, worker: str, epoch: int) -> Job:
        """Return the job with its next attempt assigned to a worker.

        :param worker: name of the worker
        :param epoch: epoch of the assigning entry's ownership
        """
        return replace(
            self._apply_trigger("assign"),
            attempt=self.attempt + 1,
            worker=worker,
            epoch=epoch,
        )

    def is_current_attempt(self, worker: str, attempt: int) -> bool:
        """Return whether this is the attempt that may now be running.

        :param worker: name of the worker
        :param attempt: attempt number
        """
        return (
            self.running and self.worker == worker and self.attempt == attempt
        )

    def finish(self) -> Job:
        """Return the job after its attempt completed.

        A standing replica that is not being cancelled is queued again,
        because it must keep running.
        """
        if self.standing and self.state is not JobState.CANCELLING:
            return self.requeue(self.checkpoint)
        return replace(self._apply_trigger("finish"), worker="")

    def fail(self, max_attempts: int, detail: str) -> Job:
        """Return the job after its attempt failed: queued again or parked.

        Standing replicas are always queued again.

        :param max_attempts: number of failures after which it is parked
        :param detail: reason given by the worker
        """
        failed = replace(self, failures=self.failures + 1)
        if not self.standing and failed.failures >= max_attempts:
            return failed.park(detail)
        return replace(failed.requeue(self.checkpoint), reason=detail)

    def requeue(self, checkpoint: str | None) -> Job:
        """Return the job queued for its next attempt.

        A job that is being cancelled becomes cancelled instead.

        :param checkpoint: object key to resume from, or None
        """
        return replace(
            self._apply_trigger("requeue"),
            worker="",
            epoch=0,
            checkpoint=checkpoint,
        )

    def requeue_attempt(self, worker: str, attempt: int) -> Job | None:
        """Return the job queued again, None if the attempt is not current.

        The caller must know that the attempt no longer runs.

        :param worker: worker of the attempt
        :param attempt: number of the attempt
        """
        if not self.is_current_attempt(worker, attempt):
            return None
        return self.requeue(self.checkpoint)

    def cancel(self) -> Job:
        """Return the job cancelled, or cancelling while an attempt runs."""
        return replace(self._apply_trigger("cancel"), reason="cancelled")

    def revive(self) -> Job:
        """Return a cancelled standing replica queued again."""
        return replace(self._apply_trigger("revive"), reason="", failures=0)

    def park(self, reason: str) -> Job:
        """Return the job parked, so that it is not tried again.

        A job that is being cancelled becomes cancelled instead.

        :param reason: why it is parked
        """
        return replace(self._apply_trigger("park"), worker="", reason=reason)

    def _apply_trigger(self, trigger: str) -> Job:
        state = _LIFECYCLE.next_state(self.state, trigger)
        if state is None:
            raise BrokenInvariant(
                f'job {self.id}: transition "{trigger}" is not allowed in '
                f'state "{self.state}"'
            )
        return replace(self, state=state)
