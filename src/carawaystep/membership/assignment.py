"""Rules for who owns which worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.membership.ownership import Ownership
from carawaystep.membership.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.membership.entry_directory import EntryDirectory

# A better owner must stay better for this long, so that one restart does not
# move workers twice.
HANDOVER_AFTER_S = 5.0


class Assignment:
    """Decides takeovers and handovers for one entry process.

    Safety rests on the compare-and-set of the owner row and on the fence;
    these rules only keep entries from racing each other.
    """

    def __init__(
        self, directory: EntryDirectory, entry: str, incarnation: str
    ) -> None:
        """Create the rules for one process.

        :param directory: what it knows about other entries
        :param entry: its entry's name
        :param incarnation: id of the process
        """
        self._directory = directory
        self._entry = entry
        self._incarnation = incarnation
        self._better_since: dict[str, tuple[str, float]] = {}

    def plan(
        self, workers: Iterable[str], availability_zone: str, now: float
    ) -> dict[str, str]:
        """Return the entry that should own each worker.

        Each worker goes to its highest rendezvous hash among the entries
        that have not reached the even share. Plain rendezvous hashing gave
        one of three entries a single worker of eight.

        :param workers: all workers of the availability zone
        :param availability_zone: its name
        :param now: present time, seconds of a monotonic clock
        :returns: entry by worker, empty when no entry lives
        """
        candidates = self._directory.candidates(availability_zone, now)
        names = sorted(workers)
        if not candidates:
            return {}
        share = -(-len(names) // len(candidates))
        loads = dict.fromkeys(candidates, 0)
        owners = {}
        for name in names:
            free = [entry for entry in candidates if loads[entry] < share]
            owners[name] = ranked(name, free)[0]
            loads[owners[name]] += 1
        return owners

    def takeover(
        self,
        worker: str,
        planned: str | None,
        present: Ownership | None,
        now: float,
    ) -> Ownership | None:
        """Return the ownership to write when this process should take over.

        It is asked only while this process does not serve the worker.

        :param worker: name of the worker
        :param planned: the entry that should own it
        :param present: its row, None when there is none
        :param now: present time, seconds of a monotonic clock
        """
        if planned != self._entry:
            return None
        if present is None:
            return Ownership(worker, self._entry, self._incarnation, 1, 0)
        # A row that names this entry is of an earlier process, or of an
        # epoch that this process no longer serves.
        if present.entry != self._entry and self._holds(present, now):
            return None
        return Ownership(
            worker,
            self._entry,
            self._incarnation,
            present.epoch + 1,
            present.version,
        )

    def handover(
        self, own: Ownership, planned: str | None, now: float
    ) -> Ownership | None:
        """Return the ownership to write when another entry should own it.

        :param own: this process's row
        :param planned: the entry that should own the worker
        :param now: present time, seconds of a monotonic clock
        """
        record = None if planned is None else self._directory.find(planned)
        if record is None or record.name == self._entry:
            self._better_since.pop(own.worker, None)
            return None
        since = self._better_since.get(own.worker)
        if since is None or since[0] != record.incarnation:
            self._better_since[own.worker] = (record.incarnation, now)
            return None
        if now - since[1] < HANDOVER_AFTER_S:
            return None
        return self.moved(own, record.name, record.incarnation)

    def handed_over(self, worker: str) -> None:
        """Forget how long another entry has been preferred."""
        self._better_since.pop(worker, None)

    def moved(self, own: Ownership, entry: str, incarnation: str) -> Ownership:
        """Return this process's ownership given to another entry."""
        return Ownership(
            own.worker, entry, incarnation, own.epoch + 1, own.version
        )

    def _holds(self, present: Ownership, now: float) -> bool:
        """Tell whether the present owner's process still lives."""
        record = self._directory.find(present.entry)
        if record is None or record.incarnation != present.incarnation:
            return False
        return self._directory.alive(present.entry, now)
