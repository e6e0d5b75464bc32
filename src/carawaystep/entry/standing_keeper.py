"""The task that keeps standing services at their number of replicas."""

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
    from carawaystep.entry.job_recorder import JobRecorder
    from carawaystep.entry.jobs_follower import JobsFollower

_INTERVAL_S = 2.0


class StandingKeeper:
    """Inserts missing replicas of own shards and cancels surplus ones."""

    def __init__(
        self,
        state: EntryState,
        recorder: JobRecorder,
        follower: JobsFollower,
    ) -> None:
        """Create a keeper.

        :param state: state of the process
        :param recorder: writes the replicas' jobs
        :param follower: tells the shards of this process
        """
        self._state = state
        self._recorder = recorder
        self._follower = follower

    async def run(self) -> None:
        """Keep replicas until the task is cancelled."""
        while True:
            if self._follower.has_caught_up and not self._state.draining:
                await self.keep_once()
            await asyncio.sleep(_INTERVAL_S)

    async def keep_once(self) -> None:
        """Compare the replicas with the documents once."""
        own_shards = set(self._follower.own_shards())
        wanted: set[str] = set()
        for document in self._state.documents.documents:
            spec = document.spec
            if spec is None or spec.kind is not ServiceKind.STANDING:
                continue
            for index in range(spec.replicas):
                job_id = standing_job_id(spec.service, index)
                wanted.add(job_id)
                if job_id[:2] in own_shards:
                    await self._insert(job_id, spec)
        for job in self._state.jobs.standing_jobs():
            if job.id not in wanted and job.shard in own_shards:
                await self._recorder.change(job.id, _cancelled, None)

    async def _insert(self, job_id: str, spec: ServiceSpec) -> None:
        if self._state.jobs.find(job_id) is not None:
            return
        if self._state.jobs.is_known(job_id):
            await self._recorder.change(job_id, _revived, None)
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
        await self._recorder.write(job, job, None)


def _cancelled(job: Job) -> Job | None:
    return None if job.state is JobState.CANCELLING else job.cancel()


def _revived(job: Job) -> Job | None:
    return job.revive() if job.state is JobState.CANCELLED else None
