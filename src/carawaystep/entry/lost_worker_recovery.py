"""The task that requeues the jobs of VMs that are gone."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.entry.entry_state import EntryState
    from carawaystep.entry.job_recorder import JobRecorder
    from carawaystep.job.job import Job

_INTERVAL_S = 2.0

# The VM list lags, so a VM that was never seen may be a new one.
GONE_AFTER_S = 30.0


class LostWorkerRecovery:
    """Requeues attempts at workers that the VM list no longer has."""

    def __init__(self, state: EntryState, recorder: JobRecorder) -> None:
        """Create the recovery.

        :param state: state of the process
        :param recorder: writes the jobs
        """
        self._state = state
        self._recorder = recorder

    async def run(self) -> None:
        """Recover jobs until the task is cancelled."""
        while True:
            await self.recover_once()
            await asyncio.sleep(_INTERVAL_S)

    async def recover_once(self) -> None:
        """Requeue the jobs of each worker that is certainly gone."""
        now = self._state.now
        for worker in self._state.jobs.assigned_workers():
            if not self._gone(worker, now):
                continue
            for job in self._state.jobs.assigned_to(worker):
                await self._requeue(job)

    def _gone(self, worker: str, now: float) -> bool:
        state = self._state
        if state.vms_read_since is None:
            return False
        seen_at = state.vms_seen_at.get(worker, state.vms_read_since)
        return now - max(seen_at, state.vms_read_since) > GONE_AFTER_S

    async def _requeue(self, lost: Job) -> None:
        await self._recorder.change(
            lost.id,
            lambda job: job.requeue_attempt(lost.worker, lost.attempt),
            None,
        )
        self._state.record(
            "job.requeued",
            lost.id,
            attempt=lost.attempt,
            reason=f"VM of {lost.worker} is gone",
        )
