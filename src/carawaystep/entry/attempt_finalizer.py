"""Stores the final state of the task attempts of one worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

from carawaystep.membership.owner_row import OWNERS_TABLE
from carawaystep.store.table_failure import TableConflict
from carawaystep.worker.execution_end import ExecutionEnd

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from carawaystep.entry.entry_state import EntryState
    from carawaystep.entry.job_repository import JobRepository
    from carawaystep.job.job import Job
    from carawaystep.membership.ownership import Ownership
    from carawaystep.store.table_failure import TableFailure
    from carawaystep.worker.ended_task import EndedTask
    from carawaystep.worker.worker import Worker


class AttemptFinalizer:
    """Stores reported task ends and requeues attempts that were lost.

    Every write is conditional on the worker's owner row. If that condition
    fails, another process owns the worker, and the ownership is revoked.
    """

    def __init__(
        self,
        state: EntryState,
        repository: JobRepository,
        worker: Worker,
        ownership: Ownership,
    ) -> None:
        """Create a finalizer for one ownership of a worker.

        :param state: shared state of the entry process
        :param repository: reads and writes job rows
        :param worker: aggregate of the worker
        :param ownership: owner row that names this process
        """
        self._state = state
        self._repository = repository
        self._worker = worker
        self._ownership = ownership
        self._unstored_ends: dict[tuple[str, int], EndedTask] = {}

    @property
    def unstored_end_count(self) -> int:
        """Return the number of reported ends that are not yet stored."""
        return len(self._unstored_ends)

    def add_ends(self, ends: Iterable[EndedTask]) -> None:
        """Add ends from a report; each is kept until it is stored."""
        for ended in ends:
            self._unstored_ends[(ended.id, ended.attempt)] = ended

    def acknowledged_sequence(self, last_sequence: int) -> int:
        """Return the highest sequence up to which every end is stored.

        The worker may forget the ends up to this sequence.

        :param last_sequence: sequence of the last report
        """
        if not self._unstored_ends:
            return last_sequence
        first = min(ended.sequence for ended in self._unstored_ends.values())
        return min(last_sequence, first - 1)

    async def store_ends(self) -> None:
        """Try to store every unstored end; failed ones are kept."""
        for key, ended in list(self._unstored_ends.items()):
            if await self._store_end(ended):
                self._unstored_ends.pop(key, None)

    async def requeue_missing(
        self, running_tasks_known: Callable[[], bool]
    ) -> None:
        """Requeue attempts that the worker neither runs nor reported ended.

        A reservation is made before the attempt is written and is held until
        the end is reported, and the fence rejects every earlier owner. An
        attempt with neither a reservation nor an unstored end was therefore
        never started, or was lost when the worker restarted.

        :param running_tasks_known: returns whether the reservations match
            what the worker runs; checked again before each job
        """
        for job in self._state.jobs.assigned_to(self._worker.name):
            if not running_tasks_known():
                return
            reservation = self._worker.find(job.id)
            if reservation is not None and reservation.attempt == job.attempt:
                continue
            await self._requeue(job, "not running")

    async def requeue_lapsed(self) -> None:
        """Requeue all attempts at the worker.

        The caller must know that all their leases have certainly expired.
        """
        for job in self._state.jobs.assigned_to(self._worker.name):
            await self._requeue(job, "lease lapsed")

    async def _store_end(self, ended: EndedTask) -> bool:
        """Store the end of an attempt.

        :returns: False when the write failed and must be repeated
        """

        def transition(job: Job) -> Job | None:
            if not job.is_current_attempt(self._worker.name, ended.attempt):
                return None
            return self._apply_end(job, ended)

        jobs = self._state.jobs
        if jobs.find(ended.id) is None and jobs.is_known(ended.id):
            return True
        updated = await self._repository.update(
            ended.id, transition, self._ownership
        )
        if not isinstance(updated, Ok):
            return self._revoke_if_owner_changed(updated.err_value)
        # A failed attempt counts as tasks_failed, and so does a failure of a
        # background task in the supervisor.
        self._state.counters.count(f"tasks_{ended.how.value}")
        self._state.record_event(
            "job.attempt-ended",
            ended.id,
            attempt=ended.attempt,
            how=ended.how.value,
            worker=self._worker.name,
        )
        return True

    def _apply_end(self, job: Job, ended: EndedTask) -> Job:
        if ended.how is ExecutionEnd.DONE:
            return job.finish()
        if ended.how is ExecutionEnd.FAILED:
            spec = self._state.spec(job.service)
            # Without a document in force this failure parks the job, unless
            # it is a standing replica.
            limit = spec.max_attempts if spec is not None else 1
            return job.fail(limit, ended.detail)
        return job.requeue(ended.checkpoint or job.checkpoint)

    async def _requeue(self, lost: Job, reason: str) -> None:
        if (lost.id, lost.attempt) in self._unstored_ends:
            return
        updated = await self._repository.update(
            lost.id,
            lambda job: job.requeue_attempt(self._worker.name, lost.attempt),
            self._ownership,
        )
        if not isinstance(updated, Ok):
            self._revoke_if_owner_changed(updated.err_value)
            return
        self._state.record_event(
            "job.requeued", lost.id, attempt=lost.attempt, reason=reason
        )

    def _revoke_if_owner_changed(self, failure: TableFailure) -> bool:
        """Revoke the ownership if a write failed its owner row check.

        :returns: False when the write failed for another reason
        """
        if not isinstance(failure, TableConflict):
            return False
        if not any(table == OWNERS_TABLE for table, _ in failure.versions):
            return False
        self._worker.guard.revoke()
        self._state.record_event("worker.lost", self._worker.name)
        return True
