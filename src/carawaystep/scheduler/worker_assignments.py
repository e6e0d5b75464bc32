"""Which member calls which worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.cluster.messages import AssignedWorker
from carawaystep.leadership.worker_assignment import assign_workers

if TYPE_CHECKING:
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.fleet.worker_record import WorkerRecord
    from carawaystep.leadership.member_record import MemberRecord
    from carawaystep.planner.planner import Planner
    from carawaystep.scheduler.member_session import MemberSession
    from carawaystep.scheduler.member_sessions import MemberSessions


class WorkerAssignments:
    """Assigns each worker to one of the available members."""

    def __init__(
        self, planner: Planner, sessions: MemberSessions, leader: str
    ) -> None:
        """Create assignments of no worker.

        :param planner: knows the workers and hears of reassignments
        :param sessions: sessions with the members
        :param leader: name of the leader's node
        """
        self._planner = planner
        self._sessions = sessions
        self._leader = leader
        self._member_by_worker: dict[WorkerKey, str] = {}
        # Inputs of the assignments, which change only with them.
        self._records: dict[WorkerKey, WorkerRecord] = {}
        self._available: dict[str, MemberRecord] = {}
        # Sessions with all members that a worker was assigned to.
        self._callers: dict[WorkerKey, frozenset[MemberSession]] = {}

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

    async def update(self, now: float) -> None:
        """Assign the workers anew and tell the members what has changed.

        Without an available member the assignments stay as they are.

        :param now: current time in seconds, monotonic
        """
        available = self._sessions.available(now)
        if not available:
            return
        records = {
            key: worker.record for key, worker in self._planner.workers.items()
        }
        if records == self._records and available == self._available:
            return
        self._records = records
        self._available = available
        member_by_worker = assign_workers(
            records.values(), available, self._leader
        )
        assignments: dict[str, list[AssignedWorker]] = {
            name: [] for name in available
        }
        for key, name in member_by_worker.items():
            assignments[name].append(AssignedWorker(key, records[key].address))
            if self._member_by_worker.get(key) != name:
                self._planner.handle_reassignment(key)
        self._member_by_worker = member_by_worker
        self._callers = {
            key: self._callers.get(key, frozenset())
            | {self._sessions.sessions[name]}
            for key, name in member_by_worker.items()
        }
        for name, workers in assignments.items():
            await self._sessions.sessions[name].assign(workers)
