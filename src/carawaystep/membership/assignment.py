"""Rules for who owns which worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.membership.ownership import Ownership
from carawaystep.membership.rendezvous import ranked

if TYPE_CHECKING:
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

    def preferred(
        self, worker: str, availability_zone: str, now: float
    ) -> str | None:
        """Return the entry that should own a worker, None when none lives."""
        candidates = self._directory.candidates(availability_zone, now)
        return ranked(worker, candidates)[0] if candidates else None

    def takeover(
        self,
        worker: str,
        availability_zone: str,
        present: Ownership | None,
        now: float,
    ) -> Ownership | None:
        """Return the ownership to write when this process should take over.

        It is asked only while this process does not serve the worker.

        :param worker: name of the worker
        :param availability_zone: where it is
        :param present: its row, None when there is none
        :param now: present time, seconds of a monotonic clock
        """
        if self.preferred(worker, availability_zone, now) != self._entry:
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
        self, own: Ownership, availability_zone: str, now: float
    ) -> Ownership | None:
        """Return the ownership to write when another entry should own it.

        :param own: this process's row
        :param availability_zone: where the worker is
        :param now: present time, seconds of a monotonic clock
        """
        better = self.preferred(own.worker, availability_zone, now)
        record = None if better is None else self._directory.find(better)
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

    def moved(self, own: Ownership, entry: str, incarnation: str) -> Ownership:
        """Return this process's ownership given to another entry."""
        self._better_since.pop(own.worker, None)
        return Ownership(
            own.worker, entry, incarnation, own.epoch + 1, own.version
        )

    def _holds(self, present: Ownership, now: float) -> bool:
        """Tell whether the present owner's process still lives."""
        record = self._directory.find(present.entry)
        if record is None or record.incarnation != present.incarnation:
            return False
        return self._directory.alive(present.entry, now)
