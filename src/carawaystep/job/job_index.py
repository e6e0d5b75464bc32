"""In-memory index of the jobs that concern one entry process.

These are the jobs of the followed shards and of the owned workers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.job.job_state import JobState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from carawaystep.document.service_spec import ServiceSpec
    from carawaystep.job.job import Job

# Jobs in shards of other entries are claimed only after this delay, so that
# entries with free capacity rarely race for the same job.
FOREIGN_SHARD_CLAIM_DELAY_S = 1.0

# Number of ended jobs whose version is kept, so that an older row that arrives
# late does not restore the job.
_MAX_ENDED_JOBS = 20_000


class JobIndex:
    """The highest known version of each job that has not ended.

    Running jobs are also indexed by worker. For a queued job the time at
    which its version was stored here is kept, and for ended jobs the version.
    """

    def __init__(self) -> None:
        """Create an empty index."""
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
        """Return a job that has not ended, None if there is none."""
        return self._jobs.get(job_id)

    def is_known(self, job_id: str) -> bool:
        """Return whether a version of the job is held, ended or not.

        Not held are jobs that were dropped by ``retain`` and ended jobs that
        ``_MAX_ENDED_JOBS`` later ones followed.
        """
        return job_id in self._jobs or job_id in self._ended

    def standing_jobs(self) -> list[Job]:
        """Return the replicas of standing services."""
        return [job for job in self._jobs.values() if job.standing]

    def assigned_to(self, worker: str) -> list[Job]:
        """Return the jobs whose current attempt is on a worker."""
        return [
            self._jobs[job_id] for job_id in self._by_worker.get(worker, ())
        ]

    def assigned_workers(self) -> list[str]:
        """Return the names of workers with at least one assigned job."""
        return list(self._by_worker)

    def apply(self, job: Job, now: float) -> bool:
        """Store a version of a job unless it is not newer than the known one.

        :param job: the row as read or written
        :param now: current monotonic time in seconds
        :returns: True if the version was newer
        """
        current = self._jobs.get(job.id)
        known = current.version if current else self._ended.get(job.id, 0)
        if known >= job.version:
            return False
        if current is not None:
            self._unindex(current)
        if job.ended:
            self._end(job.id, job.version)
            return True
        self._ended.pop(job.id, None)
        self._jobs[job.id] = job
        self._index(job, now)
        return True

    def remove(self, job_id: str, version: int) -> None:
        """Apply the deletion of a row.

        :param job_id: key of the row
        :param version: version of the deletion
        """
        current = self._jobs.get(job_id)
        if current is not None and current.version < version:
            self._unindex(current)
            self._end(job_id, version)

    def retain(self, shards: Iterable[str], workers: Iterable[str]) -> None:
        """Drop jobs outside the followed shards, except on given workers.

        :param shards: shards that are followed
        :param workers: workers whose running jobs are kept in any shard
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
        find_spec: Callable[[str], ServiceSpec | None],
        own_shards: Iterable[str],
        now: float,
        wall_now: float,
        limit: int,
    ) -> list[Job]:
        """Return the queued jobs to claim, most urgent first.

        Jobs of services without a document are skipped.

        :param find_spec: returns the spec of the document in force of a
            service, None if there is none
        :param own_shards: shards whose jobs are claimed without a delay
        :param now: current monotonic time in seconds
        :param wall_now: current wall-clock time in seconds
        :param limit: maximum number of jobs
        """
        own = frozenset(own_shards)
        ranked: list[tuple[float, str, Job]] = []
        for job_id in self._queued:
            job = self._jobs[job_id]
            spec = find_spec(job.service)
            if spec is None:
                continue
            waited_s = now - self._queued_since[job_id]
            if job.shard not in own and waited_s < FOREIGN_SHARD_CLAIM_DELAY_S:
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
        assigned_jobs = self._by_worker.get(job.worker)
        if assigned_jobs is None:
            return
        assigned_jobs.discard(job.id)
        if not assigned_jobs:
            del self._by_worker[job.worker]

    def _end(self, job_id: str, version: int) -> None:
        self._jobs.pop(job_id, None)
        self._ended[job_id] = version
        if len(self._ended) > _MAX_ENDED_JOBS:
            del self._ended[next(iter(self._ended))]
