"""Keeps standing services at their declared number of replicas."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from carawaystep.document.service_kind import ServiceKind
from carawaystep.job.job import Job
from carawaystep.job.job_id import standing_job_id
from carawaystep.job.job_state import JobState

if TYPE_CHECKING:
    from carawaystep.document.service_spec import ServiceSpec
    from carawaystep.entry.entry_state import EntryState
    from carawaystep.entry.job_repository import JobRepository
    from carawaystep.entry.jobs_follower import JobsFollower

_RECONCILE_INTERVAL_S = 2.0


class ReplicaReconciler:
    """Inserts missing replicas and cancels surplus ones.

    Each replica is a job. An entry handles only replicas in the shards that
    it claims without delay, so that entries do not compete for the writes.
    """

    def __init__(
        self,
        state: EntryState,
        repository: JobRepository,
        jobs_follower: JobsFollower,
    ) -> None:
        """Create a reconciler.

        :param state: shared state of the entry process
        :param repository: writes the replicas' jobs
        :param jobs_follower: provides the shards of this entry
        """
        self._state = state
        self._repository = repository
        self._jobs_follower = jobs_follower

    async def run(self) -> None:
        """Reconcile replicas until cancelled."""
        while True:
            if self._jobs_follower.has_caught_up and not self._state.draining:
                await self.reconcile_once()
            await asyncio.sleep(_RECONCILE_INTERVAL_S)

    async def reconcile_once(self) -> None:
        """Compare the replicas once with the documents in force."""
        own_shards = set(self._jobs_follower.own_shards())
        wanted_ids: set[str] = set()
        for document in self._state.documents.documents:
            spec = document.spec
            if spec is None or spec.kind is not ServiceKind.STANDING:
                continue
            for index in range(spec.replicas):
                job_id = standing_job_id(spec.service, index)
                wanted_ids.add(job_id)
                if job_id[:2] in own_shards:
                    await self._ensure_replica(job_id, spec)
        for job in self._state.jobs.standing_jobs():
            if job.id not in wanted_ids and job.shard in own_shards:
                await self._repository.update(
                    job.id, _cancel_unless_cancelling, None
                )

    async def _ensure_replica(self, job_id: str, spec: ServiceSpec) -> None:
        if self._state.jobs.find(job_id) is not None:
            return
        if self._state.jobs.is_known(job_id):
            await self._repository.update(job_id, _revive_if_cancelled, None)
            return
        job = Job(
            id=job_id,
            service=spec.service,
            version=0,
            state=JobState.QUEUED,
            submitted_at=self._state.ports.clock.wall_now(),
            due_s=spec.due_s,
            run_s=None,
            standing=True,
        )
        await self._repository.write(job, job, None)


def _cancel_unless_cancelling(job: Job) -> Job | None:
    return None if job.state is JobState.CANCELLING else job.cancel()


def _revive_if_cancelled(job: Job) -> Job | None:
    return job.revive() if job.state is JobState.CANCELLED else None
