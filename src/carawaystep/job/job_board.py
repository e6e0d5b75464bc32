"""Jobs that one entry process knows and may claim."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.job.job_state import JobState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from carawaystep.document.service_spec import ServiceSpec
    from carawaystep.job.job import Job

# Jobs of another entry's shards are claimed only after this wait, so that
# entries with room seldom race for the same job.
STEAL_AFTER_S = 1.0

# Ended jobs are remembered by version only, so that an older row that
# arrives late does not bring them back.
_ENDED_MEMORY = 20_000


class JobBoard:
    """The highest known version of each job that has not ended."""

    def __init__(self) -> None:
        """Create an empty board."""
        self._jobs: dict[str, Job] = {}
        self._ended: dict[str, int] = {}
        self._queued: set[str] = set()
        self._by_worker: dict[str, set[str]] = {}
        self._queued_since: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of jobs that have not ended."""
        return len(self._jobs)

    @property
    def queued_count(self) -> int:
        """Return the number of queued jobs."""
        return len(self._queued)

    def find(self, job_id: str) -> Job | None:
        """Return a job that has not ended."""
        return self._jobs.get(job_id)

    def knows(self, job_id: str) -> bool:
        """Tell whether any version of the job was seen."""
        return job_id in self._jobs or job_id in self._ended

    def standing(self) -> list[Job]:
        """Return the replicas of standing services."""
        return [job for job in self._jobs.values() if job.standing]

    def assigned_to(self, worker: str) -> list[Job]:
        """Return the jobs whose present attempt is at a worker."""
        return [
            self._jobs[job_id] for job_id in self._by_worker.get(worker, ())
        ]

    def workers(self) -> list[str]:
        """Return the workers that have a job assigned."""
        return list(self._by_worker)

    def apply(self, job: Job, now: float) -> bool:
        """Take a version of a job unless a higher or equal one is known.

        :param job: the row as read or written
        :param now: present time, seconds of a monotonic clock
        :returns: True when it is news
        """
        present = self._jobs.get(job.id)
        known = present.version if present else self._ended.get(job.id, 0)
        if known >= job.version:
            return False
        if present is not None:
            self._unindex(present)
        if job.ended:
            self._end(job.id, job.version)
            return True
        self._ended.pop(job.id, None)
        self._jobs[job.id] = job
        self._index(job, now)
        return True

    def remove(self, job_id: str, version: int) -> None:
        """Take the deletion of a row."""
        present = self._jobs.get(job_id)
        if present is not None and present.version < version:
            self._unindex(present)
            self._end(job_id, version)

    def retain(self, shards: Iterable[str], workers: Iterable[str]) -> None:
        """Forget the jobs of other shards, which are no longer followed.

        :param shards: shards that are followed
        :param workers: workers whose jobs are kept all the same
        """
        kept = frozenset(shards)
        own = frozenset(workers)
        for job in list(self._jobs.values()):
            if job.shard in kept or (job.running and job.worker in own):
                continue
            self._unindex(job)
            del self._jobs[job.id]

    def claimable(
        self,
        specs: Callable[[str], ServiceSpec | None],
        own_shards: Iterable[str],
        now: float,
        wall_now: float,
        limit: int,
    ) -> list[Job]:
        """Return queued jobs to claim, the most urgent first.

        :param specs: gives the document in force of a service
        :param own_shards: shards that this process claims at once
        :param now: present time, seconds of a monotonic clock
        :param wall_now: present wall-clock time in seconds
        :param limit: jobs to return at the most
        """
        own = frozenset(own_shards)
        ranked: list[tuple[float, str, Job]] = []
        for job_id in self._queued:
            job = self._jobs[job_id]
            spec = specs(job.service)
            if spec is None:
                continue
            waited_s = now - self._queued_since[job_id]
            if job.shard not in own and waited_s < STEAL_AFTER_S:
                continue
            ranked.append((-job.urgency(spec.urgency, wall_now), job_id, job))
        ranked.sort(key=lambda item: item[:2])
        return [job for _, _, job in ranked[:limit]]

    def _index(self, job: Job, now: float) -> None:
        if job.state is JobState.QUEUED:
            self._queued.add(job.id)
            self._queued_since[job.id] = now
        if job.running:
            self._by_worker.setdefault(job.worker, set()).add(job.id)

    def _unindex(self, job: Job) -> None:
        self._queued.discard(job.id)
        self._queued_since.pop(job.id, None)
        held = self._by_worker.get(job.worker)
        if held is None:
            return
        held.discard(job.id)
        if not held:
            del self._by_worker[job.worker]

    def _end(self, job_id: str, version: int) -> None:
        self._jobs.pop(job_id, None)
        self._ended[job_id] = version
        if len(self._ended) > _ENDED_MEMORY:
            del self._ended[next(iter(self._ended))]
