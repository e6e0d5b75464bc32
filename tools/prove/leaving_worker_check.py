"""Checks that leaving workers get no new work."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tools.ledger import Ledger
    from tools.prove.fault_log import FaultLog
    from tools.prove.topology import Topology
    from tools.prove.violation_log import ViolationLog

LEAVING_LIMIT_S = 3.0
# Age of the VM list that the stand-in platform returns.
_VM_LIST_LAG_S = 1.0


@dataclass(slots=True)
class _LeavingWorker:
    """A worker announced as leaving.

    :param worker: its name
    :param deadline: time after which it must get no new work, None when
        it depends on the faults after the announcement
    :param announced_at: when it was announced
    :param restarted_at: end of an announcement by the worker itself, None
        when it still holds
    """

    worker: str
    deadline: float | None
    announced_at: float
    restarted_at: float | None = None


class LeavingWorkerCheck:
    """Tracks leaving workers and finds later executions in ledgers."""

    def __init__(
        self, topology: Topology, faults: FaultLog, violations: ViolationLog
    ) -> None:
        """Create a check without leaving workers.

        :param topology: entries of each availability zone
        :param faults: faults injected in the run
        :param violations: records the result of each check
        """
        self._topology = topology
        self._faults = faults
        self._violations = violations
        self._leaving_workers: list[_LeavingWorker] = []

    def record_worker_notice(self, worker: str, now: float) -> None:
        """Record that a worker reports that it leaves."""
        self._leaving_workers.append(
            _LeavingWorker(worker, now + LEAVING_LIMIT_S, now)
        )

    def record_vm_list_notice(self, worker: str, now: float) -> None:
        """Record that the platform marks a worker's VM as leaving."""
        self._leaving_workers.append(_LeavingWorker(worker, None, now))

    def record_restart(self, worker: str, now: float) -> None:
        """Record a restart, which ends the worker's own report of leaving.

        A mark in the VM list stays.
        """
        for leaving in self._leaving_workers:
            if leaving.worker == worker and leaving.deadline is not None:
                leaving.restarted_at = now

    def check_executions(self, ledgers: Sequence[Ledger]) -> None:
        """Check that no execution started after a worker's deadline."""
        for leaving in self._leaving_workers:
            deadline = self._deadline(leaving)
            starts = [
                (execution.start, execution.id)
                for ledger in ledgers
                if ledger.worker == leaving.worker
                for execution in ledger.executions
                if execution.start > deadline
                and (
                    leaving.restarted_at is None
                    or execution.start < leaving.restarted_at
                )
            ]
            self._violations.record_check(
                not starts,
                f"worker {leaving.worker} got new work "
                f"{[(round(at - deadline, 2), id_) for at, id_ in starts[:5]]}"
                " seconds after the limit for a leaving worker",
                starts[0][0] if starts else None,
            )

    def _deadline(self, leaving: _LeavingWorker) -> float:
        if leaving.deadline is not None:
            return leaving.deadline
        # Entries that cannot read the VM list do not learn of the mark.
        return self._faults.fault_free_interval_end(
            leaving.announced_at,
            _VM_LIST_LAG_S + LEAVING_LIMIT_S,
            self._topology.processes_that_assign(leaving.worker),
        )
