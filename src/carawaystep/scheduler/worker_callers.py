"""The members that may call each worker, as they are stored."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping


class WorkerCallers:
    """Decides which callers of workers are to be stored.

    A member is told to call a worker only when it is stored as one of its
    callers, so that a later leader knows all that may have extended its
    lease. A former caller stays stored until the leases that it may have
    extended have ended.
    """

    def __init__(self, lease_ends_after_s: float) -> None:
        """Create the state without stored callers.

        :param lease_ends_after_s: seconds after its last extension in which
            a lease has ended
        """
        self._lease_ends_after_s = lease_ends_after_s
        self._stored: dict[str, frozenset[str]] = {}
        # When a former caller may be dropped, by worker and address.
        self._drop_at: dict[tuple[str, str], float] = {}

    def restore(self, callers: Mapping[str, frozenset[str]]) -> None:
        """Load the stored callers: addresses by id of the worker."""
        self._stored = dict(callers)

    def callers(self, worker_id: str) -> frozenset[str]:
        """Return the addresses of the members that may call a worker."""
        return self._stored.get(worker_id, frozenset())

    def changes(
        self,
        wanted: Mapping[str, set[str]],
        has_stopped: Callable[[str, str], bool],
        now: float,
    ) -> dict[str, frozenset[str]]:
        """Return the callers to store where they differ.

        :param wanted: addresses that are to call each worker; a worker
            without an entry is called by none
        :param has_stopped: tells by worker and address whether a former
            caller certainly calls the worker no more
        :param now: current time in seconds, monotonic
        :returns: addresses by worker, none to delete the row
        """
        found = {}
        for worker_id in self._stored.keys() | wanted.keys():
            current = wanted.get(worker_id, set())
            stored = self._stored.get(worker_id, frozenset())
            former = {
                address
                for address in stored - current
                if not self._is_droppable(worker_id, address, has_stopped, now)
            }
            for address in current:
                self._drop_at.pop((worker_id, address), None)
            callers = frozenset(current | former)
            if callers != stored:
                found[worker_id] = callers
        return found

    def record_stored(self, worker_id: str, callers: frozenset[str]) -> None:
        """Record that the callers of a worker have been stored."""
        for address in self._stored.get(worker_id, frozenset()) - callers:
            self._drop_at.pop((worker_id, address), None)
        if callers:
            self._stored[worker_id] = callers
        else:
            self._stored.pop(worker_id, None)

    def _is_droppable(
        self,
        worker_id: str,
        address: str,
        has_stopped: Callable[[str, str], bool],
        now: float,
    ) -> bool:
        """Tell whether no lease can last that a former caller extended."""
        if not has_stopped(worker_id, address):
            self._drop_at.pop((worker_id, address), None)
            return False
        drop_at = self._drop_at.setdefault(
            (worker_id, address), now + self._lease_ends_after_s
        )
        return now >= drop_at
