"""Writes changes of jobs to the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from carawaystep.entry.jobs_follower import TABLE
from carawaystep.job.job_row import JobRow
from carawaystep.membership.owner_row import owner_key
from carawaystep.membership.owner_row import TABLE as OWNERS
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

# Losing this many races in a row means that something else is wrong.
_MAX_CONFLICTS = 5


class JobRecorder:
    """Changes job rows by compare-and-set and reads back lost answers.

    A write on behalf of a worker also checks the worker's owner row, so that
    a former owner changes nothing.
    """

    def __init__(self, state: EntryState) -> None:
        """Create a recorder.

        :param state: state of the process
        """
        self._state = state

    async def read(self, job_id: str) -> Result[Job | None, TableFailure]:
        """Read a job from the platform.

        :returns: the job, or None when there is no such row
        """
        read = await self._state.ports.table.get(TABLE, job_id)
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
        self, before: Job, after: Job, owner: Ownership | None
    ) -> Result[Job, TableFailure]:
        """Write one change of a job.

        :param before: the version that is replaced
        :param after: the changed job
        :param owner: own ownership that must still hold, or None
        :returns: the job with its new version
        """
        operations: list[Operation] = []
        if owner is not None:
            key = owner_key(self._state.zone.own_zone, owner.worker)
            operations.append(CheckRow(OWNERS, key, owner.version))
        value = JobRow.from_job(after).to_value()
        operations.append(PutRow(TABLE, before.id, before.version, value))
        written = await self._state.ports.table.transact(operations)
        if isinstance(written, Ok):
            return Ok(self._stored(after, written.ok_value.versions[-1]))
        if isinstance(written.err_value, TableOutcomeUnknown):
            return await self._read_back(before, value, written.err_value)
        return written

    async def change(
        self,
        job_id: str,
        rule: Callable[[Job], Job | None],
        owner: Ownership | None,
    ) -> Result[Job | None, TableFailure]:
        """Apply a rule to the newest version of a job.

        :param job_id: id of the job
        :param rule: returns the changed job, None to leave it as it is
        :param owner: own ownership that must still hold, or None
        :returns: the newest version, None when there is no such job
        """
        failure: TableFailure = TableFailure("too many conflicts")
        job = self._state.jobs.find(job_id)
        # The board may be behind, so only a row that was read can show that
        # nothing is to be changed.
        changed = None if job is None else rule(job)
        for _ in range(_MAX_CONFLICTS):
            if job is None or changed is None:
                read = await self.read(job_id)
                if not isinstance(read, Ok) or read.ok_value is None:
                    return read
                job = read.ok_value
                changed = rule(job)
            if changed is None:
                return Ok(job)
            written = await self.write(job, changed, owner)
            if isinstance(written, Ok):
                return Ok(written.ok_value)
            failure = written.err_value
            if not isinstance(failure, TableConflict):
                return Err(failure)
            if any(table == OWNERS for table, _ in failure.versions):
                return Err(failure)
            changed = None
        return Err(failure)

    async def _read_back(
        self, before: Job, value: object, failure: TableFailure
    ) -> Result[Job, TableFailure]:
        """Find out whether a write whose answer was lost took effect."""
        read = await self._state.ports.table.get(TABLE, before.id)
        if not isinstance(read, Ok):
            return Err(failure)
        row = read.ok_value
        if row is None or row.version <= before.version:
            return Err(failure)
        parsed = JobRow.parse(row.key, row.value, row.version)
        if not isinstance(parsed, Ok):
            return Err(failure)
        job = self._stored(parsed.ok_value, row.version)
        if row.version == before.version + 1 and row.value == value:
            return Ok(job)
        return Err(
            TableConflict("the row changed", {(TABLE, row.key): row.version})
        )

    def _stored(self, job: Job, version: int) -> Job:
        stored = job.at_version(version)
        self._state.jobs.apply(stored, self._state.now)
        self._state.jobs_changed.set()
        return stored
