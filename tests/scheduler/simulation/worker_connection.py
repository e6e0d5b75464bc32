"""Connection of a simulated member to one lifetime of a worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.fleet.worker_key import WorkerKey
    from tests.planner.simulated_worker import SimulatedWorker


class WorkerConnection:
    """Leads to the lifetime that was present when its first call arrived.

    A crash of the worker closes it, so that a call which is carried out late
    is carried out by the lifetime that it was sent to, or not at all. It
    stands for all connections of a client: they lead to the same lifetime,
    and a crash closes them together.
    """

    def __init__(self, worker: SimulatedWorker) -> None:
        """Create a connection that no call has opened yet."""
        self._worker = worker
        self._lifetime: WorkerKey | None = None
        self._checked = False

    @property
    def is_new(self) -> bool:
        """Tell whether no call has opened it."""
        return self._lifetime is None

    @property
    def is_open(self) -> bool:
        """Tell whether the lifetime that it leads to is present."""
        return self._worker.running and self._lifetime == self._worker.key

    @property
    def is_checked(self) -> bool:
        """Tell whether its lifetime has answered a report on it."""
        return self._checked

    def leads_to(self, key: WorkerKey) -> bool:
        """Tell whether a lifetime has answered a report on it."""
        return self._checked and self._lifetime == key

    def record_report(self) -> None:
        """Record that a report was answered on it."""
        self._checked = True

    def deliver(self) -> bool:
        """Let a call arrive, the first of which opens the connection.

        :returns: whether the worker receives the call
        """
        if self.is_new and self._worker.running:
            self._lifetime = self._worker.key
        return self.is_open
