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
    from carawaystep.scheduler.lifetime_tokens import LifetimeTokens
    from carawaystep.scheduler.member_session import MemberSession
    from carawaystep.scheduler.member_sessions import MemberSessions
    from carawaystep.scheduler.worker_callers import WorkerCallers

# Former callers are dropped from the store at this interval.
_CLEANUP_INTERVAL_S = 1.0
# Members come and go in groups, above all when a term begins. Callers are
# stored once that has not happened for this long: for workers that no
# available member may call, and to even out the load.
_URGENT_SETTLE_S = 0.3
_SETTLE_S = 1.0
# Callers of such workers are stored after this long in any case.
_MAX_URGENT_WAIT_S = 1.0


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
        tokens: LifetimeTokens,
    ) -> None:
        """Create assignments of no worker.

        :param planner: knows the workers and hears of reassignments
        :param sessions: sessions with the members
        :param leader: name of the leader's node
        :param callers: the stored callers of the workers
        :param repository: stores the callers
        :param predecessors: tells when the last earlier leader has stopped
        :param tokens: fencing tokens of the workers' lifetimes
        """
        self._planner = planner
        self._sessions = sessions
        self._leader = leader
        self._worker_callers = callers
        self._repository = repository
        self._predecessors = predecessors
        self._tokens = tokens
        self._member_by_worker: dict[WorkerKey, str] = {}
        # Inputs of the assignments, which change only with them.
        self._records: dict[WorkerKey, WorkerRecord] = {}
        self._available: dict[str, MemberRecord] = {}
        self._wanted: dict[WorkerKey, str] = {}
        # Sessions with all members that a worker was assigned to.
        self._callers: dict[WorkerKey, frozenset[MemberSession]] = {}
        # Last heartbeat in this term, by address of the member.
        self._heard_at: dict[str, float] = {}
        # Members as they were last told, without those that are away.
        self._assigned: dict[WorkerKey, str] = {}
        self._members_changed_at = 0.0
        # Since when there is a worker that no available member may call.
        self._uncalled_since: float | None = None
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

        Without an available member the assignments stay as they are. A
        worker is called at once by a member that is stored as its caller, and
        by the wanted one when that is stored.

        :param now: current time in seconds, monotonic
        """
        self._record_contacts()
        available = self._sessions.available(now)
        if not available:
            return
        records = {
            key: worker.record for key, worker in self._planner.workers.items()
        }
        changed = records != self._records or available != self._available
        if changed:
            if available.keys() != self._available.keys():
                self._members_changed_at = now
            self._records = records
            self._tokens.forget_all_but(records.keys())
            self._available = available
            self._wanted = assign_workers(
                records.values(), available, self._leader
            )
        is_cleanup_due = now - self._cleaned_up_at >= _CLEANUP_INTERVAL_S
        if self._wanted == self._member_by_worker and not (
            changed or is_cleanup_due
        ):
            return
        permitted = self._permitted()
        if changed or permitted != self._assigned:
            await self._assign(permitted)
        if is_cleanup_due:
            self._cleaned_up_at = now
        if await self._store_callers(self._targets(permitted, now), now):
            await self._assign(self._permitted())

    def _targets(
        self, permitted: dict[WorkerKey, str], now: float
    ) -> dict[WorkerKey, str]:
        """Return the members whose calls are to be stored as permitted.

        :param permitted: members that may call workers already
        :param now: current time in seconds, monotonic
        """
        if len(permitted) == len(self._wanted):
            self._uncalled_since = None
        elif self._uncalled_since is None:
            self._uncalled_since = now
        settled_s = now - self._members_changed_at
        if settled_s >= _SETTLE_S:
            return self._wanted
        uncalled_since = self._uncalled_since
        if uncalled_since is not None and (
            settled_s >= _URGENT_SETTLE_S
            or now - uncalled_since >= _MAX_URGENT_WAIT_S
        ):
            return {**self._wanted, **permitted}
        return permitted

    async def _store_callers(
        self, targets: Mapping[WorkerKey, str], now: float
    ) -> bool:
        """Store callers of workers; what fails is tried with the next update.

        Those of a worker with a new lifetime are stored again, which gives
        the lifetime its token.

        :param targets: name of the member that is to call each worker
        :param now: current time in seconds, monotonic
        :returns: whether anything was stored
        """
        wanted: dict[str, set[str]] = {}
        for key, name in targets.items():
            address = self._available[name].address
            wanted.setdefault(key.id, set()).add(address)
        has_stopped = self._stopped_callers(now)
        changes = self._worker_callers.changes(wanted, has_stopped, now)
        without_token = [k for k in targets if self._tokens.get(k) is None]
        for key in without_token:
            callers = self._worker_callers.callers(key.id) | wanted[key.id]
            changes.setdefault(key.id, callers)
        if not changes:
            return False
        stored = await self._repository.store(changes)
        for worker_id, addresses in stored.items():
            self._worker_callers.record_stored(worker_id, addresses)
        for key in without_token:
            if key.id in stored:
                self._tokens.record_commit(
                    key, self._repository.revision(key.id)
                )
        return bool(stored)

    def _permitted(self) -> dict[WorkerKey, str]:
        """Return an available member for each worker that may call it.

        The wanted one comes first, then the present one, then any other
        stored caller. A worker without one, or without a token, is left out.
        """
        names = {
            record.address: name for name, record in self._available.items()
        }
        found = {}
        for key, wanted in self._wanted.items():
            if self._tokens.get(key) is None:
                continue
            callers = {
                names[address]
                for address in self._worker_callers.callers(key.id)
                if address in names
            }
            if wanted in callers:
                found[key] = wanted
            elif self.member_name(key) in callers:
                found[key] = self.member_name(key)
            elif callers:
                found[key] = min(callers - {self._leader} or callers)
        return found

    async def _assign(self, permitted: dict[WorkerKey, str]) -> None:
        """Tell the members which workers to call.

        A worker that no available member may call stays with its member,
        which may be heard again.

        :param permitted: available members that may call each worker
        """
        member_by_worker = dict(permitted)
        for key in self._wanted.keys() - permitted.keys():
            name = self.member_name(key)
            if name and name not in self._available:
                member_by_worker[key] = name
        for key, name in member_by_worker.items():
            if self._member_by_worker.get(key) != name:
                self._planner.handle_reassignment(key)
        self._assigned = permitted
        self._member_by_worker = member_by_worker
        self._callers = self._sessions_of_callers(member_by_worker)
        # A member that is away hears of its new list before its grant is
        # renewed, so that it does not call workers of which it is no stored
        # caller any more.
        assignments: dict[str, list[AssignedWorker]] = {
            name: [] for name in self._sessions.sessions
        }
        for key, name in member_by_worker.items():
            record = self._records[key]
            assignments[name].append(
                AssignedWorker(
                    key,
                    record.address,
                    self._tokens.get(key) or 0,
                    record.availability_zone,
                )
            )
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
