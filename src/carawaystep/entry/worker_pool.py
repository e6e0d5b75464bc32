"""Sessions with the workers that this process owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.entry.entry_state import EntryState
    from carawaystep.entry.worker_session import WorkerSession
    from carawaystep.worker.resources import Resources
    from carawaystep.worker.work_kind import WorkKind


class WorkerPool:
    """Finds a worker for an execution and the session to send it with."""

    def __init__(self, state: EntryState) -> None:
        """Create a pool without sessions.

        :param state: state of the process
        """
        self._state = state
        self._sessions: dict[str, WorkerSession] = {}

    @property
    def sessions(self) -> tuple[WorkerSession, ...]:
        """Return all sessions."""
        return tuple(self._sessions.values())

    @property
    def unstored_end_count(self) -> int:
        """Return the number of ended tasks that are not yet stored."""
        return sum(session.unstored_end_count for session in self.sessions)

    def find(self, worker: str) -> WorkerSession | None:
        """Return the session with a worker."""
        return self._sessions.get(worker)

    def add(self, session: WorkerSession) -> None:
        """Add a session; its worker may be placed on once it is fenced."""
        name = session.worker.name
        self._sessions[name] = session
        self._state.workers[name] = session.worker

    def remove(self, session: WorkerSession) -> None:
        """Remove a session that has ended."""
        name = session.worker.name
        if self._sessions.get(name) is session:
            del self._sessions[name]
            del self._state.workers[name]

    def choose(
        self,
        needs: Resources,
        kind: WorkKind,
        now: float,
        excluded: frozenset[str] = frozenset(),
    ) -> WorkerSession | None:
        """Choose a worker with room.

        :param needs: resources of the execution
        :param kind: request or task
        :param now: present time, seconds of a monotonic clock
        :param excluded: workers that were already tried
        """
        worker = self._state.placement.choose(
            (
                worker
                for name, worker in self._state.workers.items()
                if name not in excluded
            ),
            needs,
            kind,
            now,
        )
        return None if worker is None else self._sessions[worker.name]
