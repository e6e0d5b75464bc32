"""Which member calls which worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.cluster.messages import AssignedWorker
from carawaystep.leadership.leadership import GRANT_S
from carawaystep.leadership.worker_assignment import assign_workers
from carawaystep.planner.earlier_leases import LastExtensions

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from carawaystep.cluster.messages import LeaseAges
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.fleet.worker_record import WorkerRecord
    from carawaystep.leadership.member_record import MemberRecord
    from carawaystep.leadership.predecessors import Predecessors
    from carawaystep.planner.planner import Planner
    from carawaystep.scheduler.caller_repository import CallerRepository
    from carawaystep.scheduler.member_session import MemberSession
    from carawaystep.scheduler.member_sessions import MemberSessions
    from carawaystep.scheduler.worker_callers import WorkerCallers

# Former callers are dropped from the store at this interval.
_CLEANUP_INTERVAL_S = 1.0


class WorkerAssignments:
    """Assigns each worker to one of the available members.

    Invariant: a member is told to call a worker only while it is stored as
    one of the worker's callers.
    """

    def __init__(
        self,
        planner: Planner,
        sessions: MemberSessions,
        leader: str,
        callers: WorkerCallers,
        repository: CallerRepository,
        predecessors: Predecessors,
    ) -> None:
        """Create assignments of no worker.

        :param planner: knows the workers and hears of reassignments
        :param sessions: sessions with the members
        :param leader: name of the leader's node
        :param callers: the stored callers of the workers
        :param repository: stores the callers
        :param predecessors: tells when the last earlier leader has stopped
        """
        self._planner = planner
        self._sessions = sessions
        self._leader = leader
        self._worker_callers = callers
        self._repository = repository
        self._predecessors = predecessors
        self._member_by_worker: dict[WorkerKey, str] = {}
        # Inputs of the assignments, which change only with them.
        self._records: dict[WorkerKey, WorkerRecord] = {}
        self._available: dict[str, MemberRecord] = {}
        self._wanted: dict[WorkerKey, str] = {}
        # Sessions with all members that a worker was assigned to.
        self._callers: dict[WorkerKey, frozenset[MemberSession]] = {}
        # Last heartbeat in this term, by address of the member.
        self._heard_at: dict[str, float] = {}
        self._cleaned_up_at = 0.0

    def member_name(self, key: WorkerKey) -> str:
        """Return the member that calls a worker, empty when none does."""
        return self._member_by_worker.get(key, "")

    def session_for(self, key: WorkerKey) -> MemberSession | None:
        """Return the session with the member that calls a worker."""
        return self._sessions.get(self.member_name(key))

    def contact_times(self, key: WorkerKey) -> list[float]:
        """Return when the members that call a worker were last heard."""
        return [
            heard_at
            for session in self._callers.get(key, ())
            for heard_at in session.contact_times
        ]

    async def load(self) -> None:
        """Read the stored callers, before any member is assigned a worker."""
        callers = await self._repository.load()
        self._worker_callers.restore(callers)
        self._planner.earlier_leases.restore(callers)

    def record_lease_ages(
        self, address: str, message: LeaseAges, now: float
    ) -> None:
        """Record which leases a follower has extended before the term.

        The message may have been on its way for some time, so that the
        computed times are late rather than early.

        :param address: address of the follower
        :param now: current time in seconds, monotonic
        """
        extensions = LastExtensions(
            {
                worker_id: now - age_s
                for worker_id, age_s in message.ages_s.items()
            },
            now - message.process_age_s,
        )
        self._planner.earlier_leases.record_extensions(address, extensions)

    async def update(self, now: float) -> None:
        """Assign the workers anew and tell the members what has changed.

        Without an available member the assignments stay as they are, and a
        worker stays with its member until the next one is stored.

        :param now: current time in seconds, monotonic
        """
        self._record_contacts()
        available = self._sessions.available(now)
        if not available:
            return
        records = {
            key: worker.record for key, worker in self._planner.workers.items()
        }
        if records != self._records or available != self._available:
            self._records = records
            self._available = available
            self._wanted = assign_workers(
                records.values(), available, self._leader
            )
        if self._wanted != self._member_by_worker:
            if self._permitted() != self._member_by_worker:
                # What needs no write does not wait for the store.
                await self._assign()
            await self._store_callers(now)
            await self._assign()
        elif now - self._cleaned_up_at >= _CLEANUP_INTERVAL_S:
            self._cleaned_up_at = now
            await self._store_callers(now)

    async def _store_callers(self, now: float) -> None:
        """Store the wanted callers; what fails is tried with the next update.

        :param now: current time in seconds, monotonic
        """
        wanted: dict[str, set[str]] = {}
        for key, name in self._wanted.items():
            address = self._available[name].address
            wanted.setdefault(key.id, set()).add(address)
        has_stopped = self._stopped_callers(now)
        changes = self._worker_callers.changes(wanted, has_stopped, now)
        if not changes:
            return
        stored = await self._repository.store(changes)
        for worker_id, addresses in stored.items():
            self._worker_callers.record_stored(worker_id, addresses)

    def _permitted(self) -> dict[WorkerKey, str]:
        """Return the wanted members, or the present ones until they may call.

        A worker without either is left out.
        """
        member_by_worker = {}
        for key, name in self._wanted.items():
            address = self._available[name].address
            if not self._worker_callers.allows(key.id, address):
                name = self.member_name(key)
            if name:
                member_by_worker[key] = name
        return member_by_worker

    async def _assign(self) -> None:
        """Tell the members which workers to call, among stored callers."""
        member_by_worker = self._permitted()
        assignments: dict[str, list[AssignedWorker]] = {
            name: [] for name in self._available
        }
        for key, name in member_by_worker.items():
            if name in assignments:
                assignments[name].append(
                    AssignedWorker(key, self._records[key].address)
                )
            if self._member_by_worker.get(key) != name:
                self._planner.handle_reassignment(key)
        self._member_by_worker = member_by_worker
        self._callers = self._sessions_of_callers(member_by_worker)
        for name, workers in assignments.items():
            await self._sessions.sessions[name].assign(workers)

    def _sessions_of_callers(
        self, member_by_worker: Mapping[WorkerKey, str]
    ) -> dict[WorkerKey, frozenset[MemberSession]]:
        """Return the sessions with all members that were assigned a worker."""
        return {
            key: self._callers.get(key, frozenset())
            | {self._sessions.sessions[name]}
            for key, name in member_by_worker.items()
        }

    def _record_contacts(self) -> None:
        for session in self._sessions.sessions.values():
            if session.last_heartbeat_at is not None:
                address = session.record.address
                self._heard_at[address] = session.last_heartbeat_at

    def _stopped_callers(self, now: float) -> Callable[[str, str], bool]:
        """Return whether a member certainly calls a worker no more.

        It does not when it has confirmed an assignment without the worker,
        or when its last grant has ended. That of a worker whose runs are
        awaited is never dropped.

        :param now: current time in seconds, monotonic
        :returns: function of the id of a worker and the address of a member
        """
        awaited = self._planner.unlisted_worker_ids
        sessions = {
            session.record.address: session
            for session in self._sessions.sessions.values()
        }

        def has_stopped(worker_id: str, address: str) -> bool:
            if worker_id in awaited:
                return False
            session = sessions.get(address)
            if session is not None and session.has_dropped(worker_id):
                return True
            heard_at = self._heard_at.get(address)
            if heard_at is None:
                heard_at = self._predecessors.stop_time
            return now > heard_at + GRANT_S

        return has_stopped
