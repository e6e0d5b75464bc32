"""Finds the jobs that are assigned to workers which were taken over."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Ok

from carawaystep.entry.jobs_follower import JOBS_TABLE
from carawaystep.job.job_row import JobRow

if TYPE_CHECKING:
    from carawaystep.entry.entry_state import EntryState
    from carawaystep.entry.worker_pool import WorkerPool
    from carawaystep.store.row import Row

_CHECK_INTERVAL_S = 1.0


class AssignedJobsReader:
    """Reads the whole job table once after workers were taken over.

    Entries detect the loss of an availability zone at different times, so a
    former owner may have assigned a job of a shard that this availability
    zone does not follow. Without this read, such a job would stay assigned
    forever if the worker no longer runs it. Every former assignment was
    written before the owner row changed, so one read after that finds all of
    them.
    """

    def __init__(self, state: EntryState, pool: WorkerPool) -> None:
        """Create a reader.

        :param state: shared state of the entry process
        :param pool: sessions with the owned workers
        """
        self._state = state
        self._pool = pool
        self._covered_ownerships: frozenset[tuple[str, int]] = frozenset()

    async def run(self) -> None:
        """Read the table after new sessions have started, until cancelled."""
        while True:
            await self.read_once()
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def read_once(self) -> None:
        """Read all jobs if a session has started since the last full read.

        After a failed page, the next call starts from the beginning.
        """
        ownerships = frozenset(
            (session.worker.name, session.ownership.epoch)
            for session in self._pool.sessions
        )
        if ownerships <= self._covered_ownerships:
            return
        since = 0
        while True:
            read = await self._state.ports.store.changes(JOBS_TABLE, since)
            if not isinstance(read, Ok):
                return
            for row in read.ok_value.rows:
                self._apply_row(row)
            since = read.ok_value.revision
            if not read.ok_value.more:
                break
        self._covered_ownerships = ownerships

    def _apply_row(self, row: Row) -> None:
        if row.value is None:
            return
        parsed = JobRow.parse(row.key, row.value, row.version)
        if not isinstance(parsed, Ok):
            return
        job = parsed.ok_value
        if job.running and job.worker in self._state.workers:
            self._state.jobs.apply(job, self._state.now)
