"""Claims queued jobs for the workers that this entry owns."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Ok

from carawaystep.worker.reservation import Reservation
from carawaystep.worker.resources import Resources
from carawaystep.worker.work_kind import WorkKind
from carawaystep.worker.worker_failure import WorkerOutcomeUnknown
from carawaystep.worker.worker_task import WorkerTask

if TYPE_CHECKING:
    from carawaystep.document.service_spec import ServiceSpec
    from carawaystep.entry.entry_state import EntryState
    from carawaystep.entry.job_repository import JobRepository
    from carawaystep.entry.jobs_follower import JobsFollower
    from carawaystep.entry.worker_pool import WorkerPool
    from carawaystep.entry.worker_session import WorkerSession
    from carawaystep.job.job import Job

_CLAIM_INTERVAL_S = 1.0

# Every finished request signals a change of capacity, so changes within this
# time are handled in one round.
_COALESCE_S = 0.02

# Limit of one round; each claim needs one write to the platform.
_MAX_CONCURRENT_CLAIMS = 16


class JobClaimer:
    """Claims the most urgent jobs while owned workers have free capacity.

    A claim reserves capacity, stores the attempt and then starts the task.
    """

    def __init__(
        self,
        state: EntryState,
        pool: WorkerPool,
        repository: JobRepository,
        jobs_follower: JobsFollower,
    ) -> None:
        """Create a claimer.

        :param state: shared state of the entry process
        :param pool: sessions with the owned workers
        :param repository: writes the assignments
        :param jobs_follower: provides the shards that this entry claims
            without delay
        """
        self._state = state
        self._pool = pool
        self._repository = repository
        self._jobs_follower = jobs_follower

    async def run(self) -> None:
        """Claim jobs until cancelled."""
        requested = self._state.claim_requested
        while True:
            try:
                async with asyncio.timeout(_CLAIM_INTERVAL_S):
                    await requested.wait()
            except TimeoutError:
                pass
            await asyncio.sleep(_COALESCE_S)
            requested.clear()
            while not self._state.draining and await self.claim_once():
                pass

    async def claim_once(self) -> bool:
        """Claim as many jobs as fit, up to the limit of one round.

        :returns: True when a task was started, so that another round may
            claim more
        """
        claims = self._reserve()
        if not claims:
            return False
        results = await asyncio.gather(
            *(
                self._assign(job, spec, session, token)
                for job, spec, session, token in claims
            )
        )
        return any(results)

    def _reserve(self) -> list[tuple[Job, ServiceSpec, WorkerSession, int]]:
        """Reserve capacity for the most urgent jobs that fit.

        :returns: job, service spec, session and the fencing token at
            the time of the reservation, for each reserved job
        """
        state = self._state
        now = state.now
        # Skips sorting the queued jobs when no worker has a free slot.
        if self._pool.choose(Resources(), WorkKind.TASK, now) is None:
            return []
        jobs = state.jobs.claimable(
            state.spec,
            self._jobs_follower.own_shards(),
            now,
            state.ports.clock.wall_now(),
            _MAX_CONCURRENT_CLAIMS,
        )
        claims = []
        for job in jobs:
            spec = state.spec(job.service)
            if spec is None:
                continue
            session = self._pool.choose(spec.needs, WorkKind.TASK, now)
            if session is None:
                continue
            reservation = Reservation(
                job.id, WorkKind.TASK, job.attempt + 1, spec.needs
            )
            if session.worker.find(job.id) is None and session.worker.reserve(
                reservation, now
            ):
                claims.append((job, spec, session, session.worker.guard.token))
        return claims

    async def _assign(
        self,
        job: Job,
        spec: ServiceSpec,
        session: WorkerSession,
        token: int,
    ) -> bool:
        """Store the attempt, then start it on the worker."""
        worker = session.worker
        ownership = session.ownership
        written = await self._repository.write(
            job, job.assign(worker.name, ownership.epoch), ownership
        )
        if not isinstance(written, Ok):
            # Nothing was sent to the worker. If the write took effect after
            # all, the session requeues it as an attempt that does not run.
            worker.release(job.id)
            self._state.counters.count("job_claims_lost")
            await self._repository.read(job.id)
            return False
        assigned = written.ok_value
        self._state.record_event(
            "job.assigned",
            job.id,
            worker=worker.name,
            attempt=assigned.attempt,
            service=job.service,
        )
        return await self._start_task(assigned, spec, session, token)

    async def _start_task(
        self,
        job: Job,
        spec: ServiceSpec,
        session: WorkerSession,
        token: int,
    ) -> bool:
        started = await session.start_task(
            WorkerTask(
                job.id,
                job.attempt,
                job.service,
                spec.needs,
                None if job.standing else job.run_s,
                0.0,  # The session sets the lease expiry.
                job.checkpoint,
            ),
            token,
        )
        if isinstance(started, Ok):
            self._state.counters.count("tasks_started")
            return True
        if isinstance(started.err_value, WorkerOutcomeUnknown):
            return False
        await self._repository.update(
            job.id,
            lambda latest: latest.requeue_attempt(job.worker, job.attempt),
            session.ownership,
        )
        return False
