"""Reads and writes job rows in the platform's table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from carawaystep.entry.jobs_follower import JOBS_TABLE
from carawaystep.job.job_row import JobRow
from carawaystep.membership.owner_row import owner_key
from carawaystep.membership.owner_row import OWNERS_TABLE
from carawaystep.store.operation import CheckRow
from carawaystep.store.operation import PutRow
from carawaystep.store.table_failure import TableConflict
from carawaystep.store.table_failure import TableFailure
from carawaystep.store.table_failure import TableOutcomeUnknown

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawaystep.entry.entry_state import EntryState
    from carawaystep.job.job import Job
    from carawaystep.membership.ownership import Ownership
    from carawaystep.store.operation import Operation

# Conflicts this many times in a row point to a fault and not to a race.
_MAX_WRITE_ATTEMPTS = 5


class JobRepository:
    """Changes job rows by compare-and-set.

    When the answer to a write is lost, the row is read again to find out
    whether the write took effect. A write on behalf of a worker also checks
    the worker's owner row, so that a former owner cannot change its jobs.
    """

    def __init__(self, state: EntryState) -> None:
        """Create a repository.

        :param state: shared state of the entry process
        """
        self._state = state

    async def read(self, job_id: str) -> Result[Job | None, TableFailure]:
        """Read a job from the platform.

        :returns: the job, or None when it has no row
        """
        read = await self._state.ports.store.get(JOBS_TABLE, job_id)
        if not isinstance(read, Ok):
            return read
        row = read.ok_value
        if row is None or row.value is None:
            return Ok(None)
        parsed = JobRow.parse(row.key, row.value, row.version)
        if not isinstance(parsed, Ok):
            self._state.counters.count("rows_rejected")
            return Err(TableFailure(parsed.err_value))
        self._state.jobs.apply(parsed.ok_value, self._state.now)
        return Ok(parsed.ok_value)

    async def write(
        self, before: Job, after: Job, ownership: Ownership | None
    ) -> Result[Job, TableFailure]:
        """Replace one version of a job by another.

        :param before: version that is replaced
        :param after: changed job
        :param ownership: ownership of the worker that must still hold, None
            for a write that needs none
        :returns: the job with its new row version
        """
        operations: list[Operation] = []
        if ownership is not None:
            key = owner_key(self._state.fleet_view.own_zone, ownership.worker)
            operations.append(CheckRow(OWNERS_TABLE, key, ownership.version))
        value = JobRow.from_job(after).to_value()
        operations.append(PutRow(JOBS_TABLE, before.id, before.version, value))
        written = await self._state.ports.store.transact(operations)
        if isinstance(written, Ok):
            return Ok(self._apply_stored(after, written.ok_value.versions[-1]))
        if isinstance(written.err_value, TableOutcomeUnknown):
            return await self._resolve_unknown_write(
                before, value, written.err_value
            )
        return written

    async def update(
        self,
        job_id: str,
        transition: Callable[[Job], Job | None],
        ownership: Ownership | None,
    ) -> Result[Job | None, TableFailure]:
        """Apply a transition to the latest version of a job.

        The job is read again and the transition repeated after a conflict.

        :param job_id: id of the job
        :param transition: returns the changed job, None to leave it unchanged
        :param ownership: ownership of the worker that must still hold, None
            for a write that needs none
        :returns: the latest version, None when the job has no row
        """
        failure: TableFailure = TableFailure("no write was attempted")
        job = self._state.jobs.find(job_id)
        # The job known here may be outdated, so only a row that was read can
        # show that there is nothing to change.
        changed = None if job is None else transition(job)
        for _ in range(_MAX_WRITE_ATTEMPTS):
            if job is None or changed is None:
                read = await self.read(job_id)
                if not isinstance(read, Ok) or read.ok_value is None:
                    return read
                job = read.ok_value
                changed = transition(job)
            if changed is None:
                return Ok(job)
            written = await self.write(job, changed, ownership)
            if isinstance(written, Ok):
                return Ok(written.ok_value)
            failure = written.err_value
            if not isinstance(failure, TableConflict):
                return Err(failure)
            if any(table == OWNERS_TABLE for table, _ in failure.versions):
                return Err(failure)
            changed = None
        return Err(failure)

    async def _resolve_unknown_write(
        self, before: Job, value: object, failure: TableFailure
    ) -> Result[Job, TableFailure]:
        """Read the row to find out whether an unanswered write took effect.

        :param before: version that the write replaces
        :param value: row value that was written
        :param failure: failure to return when the outcome stays unknown
        """
        read = await self._state.ports.store.get(JOBS_TABLE, before.id)
        if not isinstance(read, Ok):
            return Err(failure)
        row = read.ok_value
        if row is None or row.version <= before.version:
            return Err(failure)
        parsed = JobRow.parse(row.key, row.value, row.version)
        if not isinstance(parsed, Ok):
            return Err(failure)
        job = self._apply_stored(parsed.ok_value, row.version)
        if row.version == before.version + 1 and row.value == value:
            return Ok(job)
        return Err(
            TableConflict(
                "the row changed", {(JOBS_TABLE, row.key): row.version}
            )
        )

    def _apply_stored(self, job: Job, version: int) -> Job:
        stored = job.at_version(version)
        self._state.jobs.apply(stored, self._state.now)
        self._state.claim_requested.set()
        return stored
