"""The workers of one term."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.fleet.tracked_run import TrackedRun
from carawaystep.fleet.tracked_worker import TrackedWorker

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from carawaystep.availability_zone.evacuated_zones import EvacuatedZones
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.fleet.worker_record import WorkerRecord
    from carawaystep.planner.contact_times import ContactTimes
    from carawaystep.planner.earlier_leases import EarlierLeases
    from carawaystep.planner.planner_limits import PlannerLimits
    from carawaystep.planner.workflow_registry import WorkflowRegistry
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow

    _StoredRun = tuple[Workflow, TaskRef]


class WorkerRegistry:
    """Holds the workers by the key of their lifetime.

    Invariants: a worker stays while it is listed or may have runs, and one
    that is added has all runs that may exist on it.
    """

    def __init__(
        self,
        workflows: WorkflowRegistry,
        limits: PlannerLimits,
        earlier_leases: EarlierLeases,
        evacuated_zones: EvacuatedZones,
        now: float,
    ) -> None:
        """Create a registry without workers at the start of a term.

        :param workflows: the workflows, whose tasks may be placed on workers
            that are not listed yet
        :param limits: times after which a silent worker has no runs
        :param earlier_leases: tells until when workers without a report may
            hold leases
        :param evacuated_zones: zones whose workers get no new work
        :param now: current time, seconds of a monotonic clock
        """
        self._workflows = workflows
        self._limits = limits
        self._term_started_at = now
        self._earlier_leases = earlier_leases
        self._evacuated_zones = evacuated_zones
        self._workers: dict[WorkerKey, TrackedWorker] = {}
        # Lifetimes that are among the workers, by worker id.
        self._lifetimes: dict[str, list[WorkerKey]] = {}
        # Lifetime that sent the last report, by worker id; earlier lifetimes
        # of the worker have been dropped.
        self._last_reported_lifetimes: dict[str, WorkerKey] = {}
        # Workers that have stored runs but have not been listed in this term,
        # in order. No member calls them, so that only earlier leaders can
        # have extended their leases. A report of a later lifetime of the same
        # worker also ends the wait for them.
        self._unlisted: dict[WorkerKey, None] = {}
        # Last known lifetime of each worker, by id.
        self._known: dict[str, WorkerKey] = {}
        # Restarted workers that may still carry out calls to an earlier
        # lifetime, until a report shows that they refuse them.
        self._unfenced: set[WorkerKey] = set()
        # Until when such calls may have given a worker a lease, by id, and
        # from when on a restarted worker gets new work.
        self._foreign_lease_ends: dict[str, float] = {}
        self._usable_from: dict[WorkerKey, float] = {}

    def __iter__(self) -> Iterator[TrackedWorker]:
        """Iterate over the workers."""
        return iter(self._workers.values())

    @property
    def workers(self) -> Mapping[WorkerKey, TrackedWorker]:
        """Return the workers that are listed or may still have runs."""
        return self._workers

    def get(self, key: WorkerKey) -> TrackedWorker | None:
        """Return a worker, None when it is unknown."""
        return self._workers.get(key)

    @property
    def unlisted_ids(self) -> set[str]:
        """Return the ids of workers that are awaited and not listed."""
        return {key.id for key in self._unlisted}

    def usable(self, now: float) -> list[TrackedWorker]:
        """Return the workers that may get new work.

        :param now: current time, seconds of a monotonic clock
        """
        return [
            worker
            for worker in self._workers.values()
            if worker.usable(now)
            and self._has_settled(worker.key, now)
            and self.accepts_work(worker)
        ]

    def accepts_work(self, worker: TrackedWorker) -> bool:
        """Tell whether a worker's availability zone accepts work."""
        zone = worker.record.availability_zone
        return self._evacuated_zones.accepts_work(zone)

    def await_listing(self, key: WorkerKey) -> None:
        """Wait for a worker with stored runs until it has no lease."""
        self._unlisted[key] = None

    def update_list(
        self, records: Iterable[WorkerRecord], now: float
    ) -> list[WorkerKey]:
        """Apply the current list of workers.

        :param now: current time, seconds of a monotonic clock
        :returns: workers that were removed because they have no runs
        """
        listed = {record.key: record for record in records}
        restarted = self._find_restarted(listed)
        added = listed.keys() - self._workers.keys()
        stored_runs = self._stored_runs(added)
        for key, record in listed.items():
            worker = self._workers.get(key)
            if worker is None:
                if key in restarted:
                    self._record_restart(key, now)
                self._add(record, stored_runs.get(key, ()))
            else:
                worker.update_record(record)
        removed = []
        for key, worker in list(self._workers.items()):
            if key not in listed:
                worker.mark_unlisted()
                if not worker.runs:
                    self._delete(key)
                    removed.append(key)
        return removed

    def record_fenced(self, key: WorkerKey, now: float) -> None:
        """Record a report of a lifetime that refuses calls to earlier ones.

        :param now: current time, seconds of a monotonic clock
        """
        if key not in self._unfenced:
            return
        self._unfenced.remove(key)
        self._foreign_lease_ends[key.id] = now + self._limits.longest_lease_s
        self._usable_from[key] = now + self._limits.settle_after_restart_s

    def record_lifetime(self, key: WorkerKey) -> bool:
        """Record which lifetime of a worker has sent a report.

        :returns: whether earlier lifetimes may still have to be dropped
        """
        if self._last_reported_lifetimes.get(key.id) == key:
            return False
        self._last_reported_lifetimes[key.id] = key
        return True

    def earlier_lifetimes(self, key: WorkerKey) -> list[TrackedWorker]:
        """Return the earlier lifetimes of a worker."""
        return [
            self._workers[lifetime]
            for lifetime in self._lifetimes.get(key.id, ())
            if _precedes(lifetime, key)
        ]

    def remove(self, worker: TrackedWorker) -> None:
        """Remove a worker, whose runs can no longer exist."""
        self._delete(worker.key)

    def adopt_unlisted_before(
        self, successor: TrackedWorker
    ) -> list[Workflow]:
        """Move the stored runs of earlier lifetimes to a later one.

        :returns: workflows with a run that was moved
        """
        earlier = self._take_unlisted(
            [key for key in self._unlisted if _precedes(key, successor.key)]
        )
        moved = []
        for workflow in self._workflows if earlier else ():
            for ref, task in workflow.placed_tasks():
                if task.worker in earlier:
                    workflow.move_run(ref, successor.key)
                    self._add_stored_run(successor, workflow, ref)
                    moved.append(workflow)
        return moved

    def take_overdue_unlisted(self, now: float) -> list[WorkerKey]:
        """Stop waiting for workers without a lease, and return them.

        :param now: current time, seconds of a monotonic clock
        """
        return self._take_unlisted(
            [
                key
                for key in self._unlisted
                if now > self._earlier_lease_end(key.id)
            ]
        )

    def without_lease(
        self, now: float, contact_times: ContactTimes
    ) -> list[TrackedWorker]:
        """Return the workers whose leases must have expired.

        :param now: current time, seconds of a monotonic clock
        :param contact_times: when the members that call the workers were
            last heard
        """
        return [
            worker
            for worker in self._workers.values()
            if now > self._last_known_lease_end(worker)
            and now > self._extended_lease_end(worker, contact_times)
        ]

    def is_without_unseen_lease(
        self, worker: TrackedWorker, now: float, contact_times: ContactTimes
    ) -> bool:
        """Tell whether the lease of an unseen lifetime must have expired.

        A silent worker may have started again. Calls that were sent to the
        lifetime that the leader knows may reach the later one, which takes
        the longest lease from them.

        :param now: current time, seconds of a monotonic clock
        :param contact_times: when the members that call the workers were
            last heard
        """
        if worker.last_report_at is None:
            return True
        lost_after_s = self._limits.lost_after_unfenced_s
        end = worker.last_report_at + lost_after_s
        return now > self._lease_end(
            worker.key, end, contact_times, lost_after_s
        )

    def _extended_lease_end(
        self, worker: TrackedWorker, contact_times: ContactTimes
    ) -> float:
        return self._lease_end(
            worker.key,
            self._last_known_lease_end(worker),
            contact_times,
            self._limits.lost_after_s,
        )

    def _lease_end(
        self,
        key: WorkerKey,
        known_end: float,
        contact_times: ContactTimes,
        lost_after_s: float,
    ) -> float:
        """Return when a worker's lease has ended, whoever extended it.

        A member that was last heard before may have extended it until its
        grant ended. One that was heard later had no answer of the worker
        before, because the leader would have the report.

        :param known_end: end of the lease that the leader knows of
        :param lost_after_s: time after a member's last sign of life after
            which the leases that it may have extended have ended, seconds
        """
        end = known_end
        for heard_at in sorted(contact_times(key)):
            if heard_at <= end:
                end = max(end, heard_at + lost_after_s)
        return end

    def _last_known_lease_end(self, worker: TrackedWorker) -> float:
        """Return when the lease ends that the leader knows of."""
        last_report_at = worker.last_report_at
        if last_report_at is None:
            return self._earlier_lease_end(worker.key.id)
        return max(
            last_report_at + self._limits.lost_after_s,
            self._foreign_lease_ends.get(worker.key.id, 0.0),
        )

    def _earlier_lease_end(self, worker_id: str) -> float:
        """Return when a lease ends that no call of this term has given.

        Calls to an earlier lifetime give one too, as long as they arrive.
        """
        return max(
            self._earlier_leases.end_at(worker_id),
            self._foreign_lease_ends.get(worker_id, 0.0),
        )

    def _has_settled(self, key: WorkerKey, now: float) -> bool:
        """Tell whether calls to earlier lifetimes do not matter any more."""
        return key not in self._unfenced and now >= self._usable_from.get(
            key, 0.0
        )

    def _delete(self, key: WorkerKey) -> None:
        del self._workers[key]
        lifetimes = self._lifetimes[key.id]
        lifetimes.remove(key)
        if not lifetimes:
            del self._lifetimes[key.id]
        self._unfenced.discard(key)
        self._usable_from.pop(key, None)

    def _take_unlisted(self, keys: list[WorkerKey]) -> list[WorkerKey]:
        for key in keys:
            del self._unlisted[key]
        return keys

    def _find_restarted(self, listed: Iterable[WorkerKey]) -> set[WorkerKey]:
        """Return the lifetimes that follow one with runs or in the list.

        :param listed: lifetimes in the list
        """
        awaited_starts_ms: dict[str, int] = {}
        for key in self._unlisted:
            known = awaited_starts_ms.get(key.id, key.started_at_ms)
            awaited_starts_ms[key.id] = min(known, key.started_at_ms)
        return {
            key
            for key in listed
            if self._known.get(key.id, key) != key
            or awaited_starts_ms.get(key.id, key.started_at_ms)
            < key.started_at_ms
        }

    def _record_restart(self, key: WorkerKey, now: float) -> None:
        self._unfenced.add(key)
        self._foreign_lease_ends[key.id] = (
            now + self._limits.lost_after_unfenced_s
        )

    def _stored_runs(
        self, keys: Collection[WorkerKey]
    ) -> dict[WorkerKey, list[_StoredRun]]:
        """Return the runs that are stored as placed on workers.

        All workers are looked up at once, because a new term adds each of
        them while it may have thousands of runs.

        :param keys: workers that are about to be added
        """
        found: dict[WorkerKey, list[_StoredRun]] = {}
        for workflow in self._workflows if keys else ():
            for ref, task in workflow.placed_tasks():
                if task.worker is not None and task.worker in keys:
                    found.setdefault(task.worker, []).append((workflow, ref))
        return found

    def _add(
        self, record: WorkerRecord, stored_runs: Iterable[_StoredRun]
    ) -> None:
        worker = TrackedWorker(record)
        self._known[record.key.id] = record.key
        self._workers[record.key] = worker
        self._lifetimes.setdefault(record.key.id, []).append(record.key)
        # Without an entry, the next report checks again for earlier lifetimes
        # to drop; the added worker may be one.
        self._last_reported_lifetimes.pop(record.key.id, None)
        self._unlisted.pop(record.key, None)
        for workflow, ref in stored_runs:
            self._add_stored_run(worker, workflow, ref)

    def _add_stored_run(
        self, worker: TrackedWorker, workflow: Workflow, ref: TaskRef
    ) -> None:
        step = workflow.step(ref)
        run = TrackedRun(
            workflow.task(ref).run,
            step,
            workflow.spec.priority,
            self._term_started_at,
            inherited=True,
            # An earlier leader may have slowed it.
            pace_in_doubt=step.fills,
        )
        worker.add(ref, run)


def _precedes(earlier: WorkerKey, later: WorkerKey) -> bool:
    """Tell whether two lifetimes of one worker are in this order."""
    return (
        earlier.id == later.id and earlier.started_at_ms < later.started_at_ms
    )
