"""Policy that decides which entry owns which worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.membership.ownership import Ownership
from carawaystep.membership.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.membership.entry_directory import EntryDirectory

# Another entry must be the planned owner for this time before a handover, so
# that a single restart does not move workers twice.
HANDOVER_DELAY_S = 5.0


class OwnershipPolicy:
    """Plans takeovers and handovers of workers for one entry process.

    Safety does not depend on this policy: the compare-and-set of the owner
    row and the fence at the worker provide it. The policy only keeps entries
    from competing for the same worker.
    """

    def __init__(
        self, directory: EntryDirectory, entry: str, incarnation: str
    ) -> None:
        """Create the policy of one process.

        :param directory: liveness of all entries
        :param entry: name of the process's entry
        :param incarnation: id of the process
        """
        self._directory = directory
        self._entry = entry
        self._incarnation = incarnation
        # For each worker planned for another entry, the incarnation of that
        # entry and the time since when it is the planned owner.
        self._pending_handovers: dict[str, tuple[str, float]] = {}

    def plan(
        self, workers: Iterable[str], availability_zone: str, now: float
    ) -> dict[str, str]:
        """Return the planned owner of each worker.

        Each worker goes to the entry with the highest rendezvous weight among
        those with fewer workers than an even share. Plain rendezvous hashing
        gave one of three entries a single worker of eight.

        :param workers: names of all workers of the availability zone
        :param availability_zone: name of the availability zone
        :param now: current monotonic time in seconds
        :returns: names of entries by worker, empty without active entries
        """
        candidates = self._directory.active_entry_names(availability_zone, now)
        names = sorted(workers)
        if not candidates:
            return {}
        even_share = -(-len(names) // len(candidates))
        worker_counts = dict.fromkeys(candidates, 0)
        owners = {}
        for name in names:
            below_share = [
                entry
                for entry in candidates
                if worker_counts[entry] < even_share
            ]
            owners[name] = ranked(name, below_share)[0]
            worker_counts[owners[name]] += 1
        return owners

    def plan_unserved_worker(
        self,
        worker: str,
        planned: str | None,
        current: Ownership | None,
        now: float,
    ) -> Ownership | None:
        """Return the ownership to write for a worker that is not served.

        It is a takeover if this entry is the planned owner and no other live
        process owns the worker, or a repeated handover if another entry is
        planned and the stored row still names this process, else None. It is
        called only while this process does not serve the worker.

        :param worker: name of the worker
        :param planned: name of the planned owner, None if there is none
        :param current: the stored ownership, None if there is none
        :param now: current monotonic time in seconds
        """
        if planned != self._entry:
            return self._repeat_handover(planned, current)
        if current is None:
            return Ownership(worker, self._entry, self._incarnation, 1, 0)
        # A row that names this entry belongs to an earlier process, or to an
        # epoch that this process no longer serves.
        if current.entry != self._entry and self._is_owner_alive(current, now):
            return None
        return Ownership(
            worker,
            self._entry,
            self._incarnation,
            current.epoch + 1,
            current.version,
        )

    def plan_handover(
        self, own: Ownership, planned: str | None, now: float
    ) -> Ownership | None:
        """Return the ownership to write, None if no handover is due.

        A handover is due once another entry has been the planned owner for
        ``HANDOVER_DELAY_S``.

        :param own: this process's ownership
        :param planned: name of the planned owner, None if there is none
        :param now: current monotonic time in seconds
        """
        record = None if planned is None else self._directory.find(planned)
        if record is None or record.name == self._entry:
            self._pending_handovers.pop(own.worker, None)
            return None
        pending = self._pending_handovers.get(own.worker)
        if pending is None or pending[0] != record.incarnation:
            self._pending_handovers[own.worker] = (record.incarnation, now)
            return None
        if now - pending[1] < HANDOVER_DELAY_S:
            return None
        return self.transfer(own, record.name, record.incarnation)

    def reset_handover_delay(self, worker: str) -> None:
        """Forget since when another entry is the planned owner.

        The next handover of the worker then waits the full delay.

        :param worker: name of the worker
        """
        self._pending_handovers.pop(worker, None)

    def transfer(
        self, own: Ownership, entry: str, incarnation: str
    ) -> Ownership:
        """Return an ownership transferred to another entry, to be written.

        :param own: this process's ownership
        :param entry: name of the new owner
        :param incarnation: id of the new owner's process
        """
        return Ownership(
            own.worker, entry, incarnation, own.epoch + 1, own.version
        )

    def _repeat_handover(
        self, planned: str | None, current: Ownership | None
    ) -> Ownership | None:
        """Return a handover to write again because its write failed.

        This process no longer serves the worker, but the row still names it,
        so that no other entry would take over.
        """
        if current is None or current.incarnation != self._incarnation:
            return None
        record = None if planned is None else self._directory.find(planned)
        if record is None:
            return None
        return self.transfer(current, record.name, record.incarnation)

    def _is_owner_alive(self, current: Ownership, now: float) -> bool:
        """Return whether the process that the row names is still alive."""
        record = self._directory.find(current.entry)
        if record is None or record.incarnation != current.incarnation:
            return False
        return self._directory.is_alive(current.entry, now)
