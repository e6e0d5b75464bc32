"""Workers of a killed entry have an owner again in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.prove.entry_snapshot_check import EntrySnapshotCheck
from tools.prove.topology import PLATFORM

if TYPE_CHECKING:
    from tools.prove.entry_snapshot import EntrySnapshot
    from tools.prove.fault_log import FaultLog
    from tools.prove.fault_record import FaultRecord
    from tools.prove.topology import Topology
    from tools.prove.violation_log import ViolationLog

TAKEOVER_LIMIT_S = 10.0
# Entries are asked every half second, and an answer takes up to a second.
_POLL_MARGIN_S = 1.5


class TakeoverCheck(EntrySnapshotCheck):
    """Follows the workers of killed entries until they are seen again."""

    def __init__(
        self, topology: Topology, faults: FaultLog, log: ViolationLog
    ) -> None:
        """Create a check without killed entries.

        :param topology: entries of each availability zone
        :param faults: faults of the run
        :param log: takes the results
        """
        self._topology = topology
        self._faults = faults
        self._log = log
        self._workers: dict[int, frozenset[str]] = {}
        self._waiting: dict[tuple[str, int], FaultRecord] = {}
        self._slowest_s = 0.0

    @property
    def slowest_s(self) -> float:
        """Return the longest time that a worker was not owned."""
        return self._slowest_s

    def killed(self, pid: int, record: FaultRecord) -> None:
        """Take the death of an entry process."""
        for worker in self._workers.pop(pid, frozenset()):
            self._waiting[worker, pid] = record

    def observe(self, sighting: EntrySnapshot) -> None:
        """Look for the workers of killed entries."""
        self._workers[sighting.pid] = sighting.workers
        for (worker, pid), record in list(self._waiting.items()):
            if pid == sighting.pid or sighting.asked_at < record.begun_at:
                continue
            if worker in sighting.workers:
                del self._waiting[worker, pid]
                self._log.check(True, "")
                owned_after_s = sighting.asked_at - record.begun_at
                self._slowest_s = max(self._slowest_s, owned_after_s)
            elif sighting.asked_at > self._due_at(worker, record):
                del self._waiting[worker, pid]
                self._log.check(
                    False,
                    f"worker {worker} has no owner"
                    f" {sighting.asked_at - record.begun_at:.1f} s after"
                    f" {record.fault.target} was killed",
                    sighting.asked_at,
                )

    def _due_at(self, worker: str, record: FaultRecord) -> float:
        entries = self._topology.entries[self._topology.zone_of(worker)]
        quiet_end = self._faults.quiet_end(
            record.begun_at,
            TAKEOVER_LIMIT_S,
            (PLATFORM, *entries),
            without=record,
        )
        return quiet_end + _POLL_MARGIN_S
