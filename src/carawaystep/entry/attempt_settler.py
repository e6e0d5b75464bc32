"""Stores how the attempts at one worker ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

from carawaystep.membership.owner_row import TABLE as OWNERS
from carawaystep.store.table_failure import TableConflict
from carawaystep.worker.execution_end import ExecutionEnd

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from carawaystep.entry.entry_state import EntryState
    from carawaystep.entry.job_recorder import JobRecorder
    from carawaystep.job.job import Job
    from carawaystep.membership.ownership import Ownership
    from carawaystep.store.table_failure import TableFailure
    from carawaystep.worker.ended_task import EndedTask
    from carawaystep.worker.worker import Worker


class AttemptSettler:
    """Keeps reported ends until they are stored, and requeues lost attempts.

    Every write checks the owner row. When that check fails, the ownership is
    revoked.
    """

    def __init__(
        self,
        state: EntryState,
        recorder: JobRecorder,
        worker: Worker,
        ownership: Ownership,
    ) -> None:
        """Create a settler for one ownership.

        :param state: state of the process
        :param recorder: writes the jobs
        :param worker: the worker's aggregate
        :param ownership: the row that makes this process its owner
        """
        self._state = state
        self._recorder = recorder
        self._worker = worker
        self._ownership = ownership
        self._pending: dict[tuple[str, int], EndedTask] = {}

    @property
    def pending(self) -> int:
        """Return the number of ends that are not yet stored."""
        return len(self._pending)

    def take(self, ends: Iterable[EndedTask]) -> None:
        """Take ends from a report; they are kept until they are stored."""
        for ended in ends:
            self._pending[(ended.id, ended.attempt)] = ended

    def acknowledged(self, since: int) -> int:
        """Return the sequence up to which all ends are stored.

        :param since: sequence of the last report
        """
        if not self._pending:
            return since
        first = min(ended.sequence for ended in self._pending.values())
        return min(since, first - 1)

    async def store_ends(self) -> None:
        """Store all ends; those that fail stay pending."""
        for key, ended in list(self._pending.items()):
            if await self._store(ended):
                self._pending.pop(key, None)

    async def requeue_missing(self, known: Callable[[], bool]) -> None:
        """Requeue attempts that the worker neither runs nor has ended.

        A reservation is held from before an attempt is written until its end
        is reported, and the fence refuses every earlier owner. An attempt
        without either was never started, or was lost in a restart.

        :param known: tells whether what the worker runs is known now
        """
        for job in self._state.jobs.assigned_to(self._worker.name):
            if not known():
                return
            held = self._worker.find(job.id)
            if held is not None and held.attempt == job.attempt:
                continue
            await self._requeue(job, "not running")

    async def requeue_lapsed(self) -> None:
        """Requeue attempts whose leases have certainly ended."""
        for job in self._state.jobs.assigned_to(self._worker.name):
            await self._requeue(job, "lease lapsed")

    async def _store(self, ended: EndedTask) -> bool:
        """Store the end of an attempt.

        :returns: False when the platform did not answer and it must be
            stored later
        """

        def rule(job: Job) -> Job | None:
            if not job.is_current_attempt(self._worker.name, ended.attempt):
                return None
            return self._after_end(job, ended)

        jobs = self._state.jobs
        if jobs.find(ended.id) is None and jobs.is_known(ended.id):
            return True
        changed = await self._recorder.change(ended.id, rule, self._ownership)
        if not isinstance(changed, Ok):
            return self._ownership_lost(changed.err_value)
        self._state.counters.count(f"tasks_{ended.how.value}")
        self._state.record(
            "job.attempt-ended",
            ended.id,
            attempt=ended.attempt,
            how=ended.how.value,
            worker=self._worker.name,
        )
        return True

    def _after_end(self, job: Job, ended: EndedTask) -> Job:
        if ended.how is ExecutionEnd.DONE:
            return job.finish()
        if ended.how is ExecutionEnd.FAILED:
            spec = self._state.spec(job.service)
            limit = spec.max_attempts if spec is not None else 1
            return job.fail(limit, ended.detail)
        return job.requeue(ended.checkpoint or job.checkpoint)

    async def _requeue(self, lost: Job, reason: str) -> None:
        if (lost.id, lost.attempt) in self._pending:
            return
        changed = await self._recorder.change(
            lost.id,
            lambda job: job.requeue_attempt(self._worker.name, lost.attempt),
            self._ownership,
        )
        if not isinstance(changed, Ok):
            self._ownership_lost(changed.err_value)
            return
        self._state.record(
            "job.requeued", lost.id, attempt=lost.attempt, reason=reason
        )

    def _ownership_lost(self, failure: TableFailure) -> bool:
        """Revoke the ownership when a write failed its owner check."""
        if not isinstance(failure, TableConflict):
            return False
        if not any(table == OWNERS for table, _ in failure.versions):
            return False
        self._worker.guard.revoke()
        self._state.record("worker.lost", self._worker.name)
        return True
