"""Leaving workers get no new work."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from tools.prove.topology import PLATFORM

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tools.ledger import Ledger
    from tools.prove.fault_log import FaultLog
    from tools.prove.topology import Topology
    from tools.prove.violation_log import ViolationLog

LEAVING_LIMIT_S = 3.0
# Age of the stand-in platform's VM list.
_LIST_LAG_S = 1.0


@dataclass(slots=True)
class _Departure:
    worker: str
    due_at: float | None
    said_at: float
    until: float | None = None


class LeavingWorkerCheck:
    """Remembers who left and looks for later work in the ledgers."""

    def __init__(
        self, topology: Topology, faults: FaultLog, log: ViolationLog
    ) -> None:
        """Create a check without departures.

        :param topology: entries of each availability zone
        :param faults: faults of the run
        :param log: takes the results
        """
        self._topology = topology
        self._faults = faults
        self._log = log
        self._departures: list[_Departure] = []

    def worker_said(self, worker: str, now: float) -> None:
        """Take a worker that reports by itself that it leaves."""
        self._departures.append(_Departure(worker, now + LEAVING_LIMIT_S, now))

    def list_said(self, worker: str, now: float) -> None:
        """Take a worker that the platform marks as leaving."""
        self._departures.append(_Departure(worker, None, now))

    def restarted(self, worker: str, now: float) -> None:
        """Take a restart, after which only the VM list still says it."""
        for departure in self._departures:
            if departure.worker == worker and departure.due_at is not None:
                departure.until = now

    def judge(self, ledgers: Sequence[Ledger]) -> None:
        """Check all executions."""
        for departure in self._departures:
            due_at = self._due_at(departure)
            starts = [
                (execution.start, execution.id)
                for ledger in ledgers
                if ledger.worker == departure.worker
                for execution in ledger.executions
                if execution.start > due_at
                and (
                    departure.until is None
                    or execution.start < departure.until
                )
            ]
            self._log.check(
                not starts,
                f"worker {departure.worker} got new work"
                f" {[(round(at - due_at, 2), id_) for at, id_ in starts[:5]]}"
                " seconds after the limit for a leaving worker",
                starts[0][0] if starts else None,
            )

    def _due_at(self, departure: _Departure) -> float:
        if departure.due_at is not None:
            return departure.due_at
        # The list tells nothing to an entry that cannot read it.
        entries = self._topology.entries[
            self._topology.zone_of(departure.worker)
        ]
        return self._faults.quiet_end(
            departure.said_at,
            _LIST_LAG_S + LEAVING_LIMIT_S,
            (PLATFORM, *entries),
        )
