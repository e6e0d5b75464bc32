"""The task that finds the jobs at workers that were taken over."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Ok

from carawaystep.entry.jobs_follower import TABLE
from carawaystep.job.job_row import JobRow

if TYPE_CHECKING:
    from carawaystep.entry.entry_state import EntryState
    from carawaystep.entry.worker_pool import WorkerPool
    from carawaystep.store.row import Row

_CHECK_INTERVAL_S = 1.0


class AssignedJobsReader:
    """Reads all jobs once for each batch of new sessions.

    A former owner may have assigned a job of a shard that this availability
    zone does not follow, because entries learn at different times which
    availability zones live. Without this, such a job would stay assigned for
    ever once its worker lost it. Every former assignment was written before
    the owner row changed, so one reading after that finds them all.
    """

    def __init__(self, state: EntryState, pool: WorkerPool) -> None:
        """Create a reader.

        :param state: state of the process
        :param pool: sessions with own workers
        """
        self._state = state
        self._pool = pool
        self._read_ownerships: frozenset[tuple[str, int]] = frozenset()

    async def run(self) -> None:
        """Read whenever there are new sessions, until cancelled."""
        while True:
            await self.read_once()
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def read_once(self) -> None:
        """Read all jobs if a session has begun since the last reading."""
        ownerships = frozenset(
            (session.worker.name, session.ownership.epoch)
            for session in self._pool.sessions
        )
        if ownerships <= self._read_ownerships:
            return
        since = 0
        while True:
            read = await self._state.ports.table.changes(TABLE, since)
            if not isinstance(read, Ok):
                return
            for row in read.ok_value.rows:
                self._apply_row(row)
            since = read.ok_value.revision
            if not read.ok_value.more:
                break
        self._read_ownerships = ownerships

    def _apply_row(self, row: Row) -> None:
        if row.value is None:
            return
        parsed = JobRow.parse(row.key, row.value, row.version)
        if not isinstance(parsed, Ok):
            return
        job = parsed.ok_value
        if job.running and job.worker in self._state.workers:
            self._state.jobs.apply(job, self._state.now)
