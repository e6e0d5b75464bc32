"""Requeues the jobs of workers whose VM no longer exists."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.entry.entry_state import EntryState
    from carawaystep.entry.job_repository import JobRepository
    from carawaystep.job.job import Job

_CHECK_INTERVAL_S = 2.0

# Time without being listed after which a VM counts as gone. The list lags, so
# a VM that was never listed may be a new one.
VM_GONE_AFTER_S = 30.0


class GoneVmRecovery:
    """Requeues attempts at workers that are missing from the VM list."""

    def __init__(self, state: EntryState, repository: JobRepository) -> None:
        """Create the recovery task.

        :param state: shared state of the entry process
        :param repository: reads and writes job rows
        """
        self._state = state
        self._repository = repository

    async def run(self) -> None:
        """Recover jobs until cancelled."""
        while True:
            await self.recover_once()
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def recover_once(self) -> None:
        """Requeue the jobs of each worker that counts as gone."""
        now = self._state.now
        for worker in self._state.jobs.assigned_workers():
            if not self._is_gone(worker, now):
                continue
            for job in self._state.jobs.assigned_to(worker):
                await self._requeue(job)

    def _is_gone(self, worker: str, now: float) -> bool:
        """Return whether the VM was missing from the list for long enough.

        Only time during which the list could be read without interruption
        counts.
        """
        state = self._state
        if state.vm_list_readable_since is None:
            return False
        last_seen_at = state.vm_last_seen_at.get(
            worker, state.vm_list_readable_since
        )
        return (
            now - max(last_seen_at, state.vm_list_readable_since)
            > VM_GONE_AFTER_S
        )

    async def _requeue(self, lost: Job) -> None:
        await self._repository.update(
            lost.id,
            lambda job: job.requeue_attempt(lost.worker, lost.attempt),
            None,
        )
        self._state.record_event(
            "job.requeued",
            lost.id,
            attempt=lost.attempt,
            reason=f"VM of {lost.worker} is gone",
        )
