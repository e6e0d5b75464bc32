"""The task that claims queued jobs for own workers."""

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
    from carawaystep.entry.job_recorder import JobRecorder
    from carawaystep.entry.jobs_follower import JobsFollower
    from carawaystep.entry.worker_pool import WorkerPool
    from carawaystep.entry.worker_session import WorkerSession
    from carawaystep.job.job import Job

_INTERVAL_S = 1.0

# Changes within this time are looked at together, because every answered
# request is one.
_GATHER_S = 0.02

# Jobs claimed at the same time; each needs one write to the platform.
_CLAIMS_AT_ONCE = 16


class JobClaimer:
    """Claims the most urgent jobs while own workers have room."""

    def __init__(
        self,
        state: EntryState,
        pool: WorkerPool,
        recorder: JobRecorder,
        follower: JobsFollower,
    ) -> None:
        """Create a claimer.

        :param state: state of the process
        :param pool: sessions with own workers
        :param recorder: writes the assignments
        :param follower: tells the shards that are claimed first
        """
        self._state = state
        self._pool = pool
        self._recorder = recorder
        self._follower = follower

    async def run(self) -> None:
        """Claim jobs until the task is cancelled."""
        changed = self._state.jobs_changed
        while True:
            try:
                async with asyncio.timeout(_INTERVAL_S):
                    await changed.wait()
            except TimeoutError:
                pass
            await asyncio.sleep(_GATHER_S)
            changed.clear()
            while not self._state.draining and await self.claim_once():
                pass

    async def claim_once(self) -> bool:
        """Claim as many jobs as fit, up to a limit.

        :returns: True when another round may claim more
        """
        claims = self._reserve()
        if not claims:
            return False
        results = await asyncio.gather(
            *(
                self._start(job, spec, session, token)
                for job, spec, session, token in claims
            )
        )
        return any(results)

    def _reserve(self) -> list[tuple[Job, ServiceSpec, WorkerSession, int]]:
        """Reserve room for the most urgent jobs that fit.

        :returns: jobs with the fence token of each reservation
        """
        state = self._state
        now = state.now
        # Sorting the queued jobs is not worth it without a free slot.
        if self._pool.choose(Resources(), WorkKind.TASK, now) is None:
            return []
        jobs = state.jobs.claimable(
            state.spec,
            self._follower.own_shards(),
            now,
            state.ports.clock.wall_now(),
            _CLAIMS_AT_ONCE,
        )
        claims = []
        for job in jobs:
            spec = state.spec(job.service)
            if spec is None:
                continue
            session = self._pool.choose(spec.needs, WorkKind.TASK, now)
            if session is None:
                continue
            held = Reservation(
                job.id, WorkKind.TASK, job.attempt + 1, spec.needs
            )
            if session.worker.find(job.id) is None and session.worker.reserve(
                held, now
            ):
                claims.append((job, spec, session, session.worker.guard.token))
        return claims

    async def _start(
        self,
        job: Job,
        spec: ServiceSpec,
        session: WorkerSession,
        token: int,
    ) -> bool:
        """Write the attempt, then send it to the worker."""
        worker = session.worker
        ownership = session.ownership
        written = await self._recorder.write(
            job, job.assign(worker.name, ownership.epoch), ownership
        )
        if not isinstance(written, Ok):
            # Nothing was sent. If the write took effect after all, the
            # session finds an attempt that the worker does not run.
            worker.release(job.id)
            self._state.counters.count("job_claims_lost")
            await self._recorder.read(job.id)
            return False
        assigned = written.ok_value
        self._state.record(
            "job.assigned",
            job.id,
            worker=worker.name,
            attempt=assigned.attempt,
            service=job.service,
        )
        return await self._send(assigned, spec, session, token)

    async def _send(
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
                0.0,
                job.checkpoint,
            ),
            token,
        )
        if isinstance(started, Ok):
            self._state.counters.count("tasks_started")
            return True
        if isinstance(started.err_value, WorkerOutcomeUnknown):
            return False
        await self._recorder.change(
            job.id,
            lambda newest: newest.requeue_attempt(job.worker, job.attempt),
            session.ownership,
        )
        return False
