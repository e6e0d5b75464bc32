"""Sessions with owned workers, and the choice of one for an execution."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.entry.entry_state import EntryState
    from carawaystep.entry.worker_session import WorkerSession
    from carawaystep.worker.resources import Resources
    from carawaystep.worker.work_kind import WorkKind


class WorkerPool:
    """Holds the sessions and chooses one for each request or task."""

    def __init__(self, state: EntryState) -> None:
        """Create a pool without sessions.

        :param state: shared state of the entry process
        """
        self._state = state
        self._sessions: dict[str, WorkerSession] = {}

    @property
    def sessions(self) -> tuple[WorkerSession, ...]:
        """Return all sessions."""
        return tuple(self._sessions.values())

    @property
    def unstored_end_count(self) -> int:
        """Return the number of reported ends that are not yet stored."""
        return sum(session.unstored_end_count for session in self.sessions)

    def find(self, worker: str) -> WorkerSession | None:
        """Return the session with a worker."""
        return self._sessions.get(worker)

    def add(self, session: WorkerSession) -> None:
        """Add a session; its worker accepts work once it is fenced."""
        name = session.worker.name
        self._sessions[name] = session
        self._state.workers[name] = session.worker

    def remove(self, session: WorkerSession) -> None:
        """Remove a session that has ended, unless a new one replaced it."""
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
        """Choose a worker with free capacity by the placement policy.

        :param needs: resources of the execution
        :param kind: request or task
        :param now: current monotonic time in seconds
        :param excluded: names of workers that were already tried
        :returns: the session with the worker, None when none has capacity
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
