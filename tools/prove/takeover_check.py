"""Checks that workers of a killed entry get a new owner in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.prove.entry_snapshot_check import EntrySnapshotCheck

if TYPE_CHECKING:
    from tools.prove.entry_snapshot import EntrySnapshot
    from tools.prove.fault_log import FaultLog
    from tools.prove.fault_record import FaultRecord
    from tools.prove.topology import Topology
    from tools.prove.violation_log import ViolationLog

TAKEOVER_LIMIT_S = 10.0
# Entries are polled every 0.5 s, and a response takes up to 1 s.
_POLL_MARGIN_S = 1.5


class TakeoverCheck(EntrySnapshotCheck):
    """Tracks workers of killed entries until another entry owns them."""

    def __init__(
        self, topology: Topology, faults: FaultLog, violations: ViolationLog
    ) -> None:
        """Create a check without killed entries.

        :param topology: entries of each availability zone
        :param faults: faults injected in the run
        :param violations: records the result of each check
        """
        self._topology = topology
        self._faults = faults
        self._violations = violations
        self._workers_by_pid: dict[int, frozenset[str]] = {}
        self._unowned: dict[tuple[str, int], FaultRecord] = {}
        self._slowest_takeover_s = 0.0

    @property
    def slowest_takeover_s(self) -> float:
        """Return the longest time in seconds from a kill to a new owner."""
        return self._slowest_takeover_s

    def record_kill(self, pid: int, record: FaultRecord) -> None:
        """Record that an entry process was killed.

        :param pid: process id of the killed process
        :param record: the fault that killed it
        """
        for worker in self._workers_by_pid.pop(pid, frozenset()):
            self._unowned[worker, pid] = record

    def observe(self, snapshot: EntrySnapshot) -> None:
        """Look for workers of killed entries among those owned."""
        self._workers_by_pid[snapshot.pid] = snapshot.workers
        for (worker, pid), record in list(self._unowned.items()):
            if (
                pid == snapshot.pid
                or snapshot.requested_at < record.started_at
            ):
                continue
            if worker in snapshot.workers:
                del self._unowned[worker, pid]
                self._violations.record_check(True, "")
                takeover_s = snapshot.requested_at - record.started_at
                self._slowest_takeover_s = max(
                    self._slowest_takeover_s, takeover_s
                )
            elif snapshot.requested_at > self._deadline(worker, record):
                del self._unowned[worker, pid]
                self._violations.record_check(
                    False,
                    f"worker {worker} has no owner"
                    f" {snapshot.requested_at - record.started_at:.1f} s after"
                    f" {record.fault.target} was killed",
                    snapshot.requested_at,
                )

    def _deadline(self, worker: str, record: FaultRecord) -> float:
        interval_end = self._faults.fault_free_interval_end(
            record.started_at,
            TAKEOVER_LIMIT_S,
            self._topology.processes_that_assign(worker),
            excluded=record,
        )
        return interval_end + _POLL_MARGIN_S
