"""Test data for the checks of a run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.request.outcome import Outcome
from tools.call_record import CallRecord
from tools.ledger import Execution
from tools.ledger import Ledger
from tools.prove.entry_snapshot import EntrySnapshot
from tools.prove.fault import Fault
from tools.prove.fault_kind import FaultKind
from tools.prove.fault_log import FaultLog
from tools.prove.topology import Topology
from tools.prove.violation_log import ViolationLog

if TYPE_CHECKING:
    from tools.prove.fault_record import FaultRecord

TOPOLOGY = Topology({"z": ("e1", "e2")}, {"z": ("w1", "w2")})
URL = "http://e1"


class RunLogs:
    """Fault log and violation log of one run."""

    def __init__(self) -> None:
        """Create empty logs."""
        self.faults = FaultLog()
        self.violations = ViolationLog(self.faults)

    @property
    def texts(self) -> list[str]:
        """Return the first line of each violation."""
        return [text.split("\n")[0] for text in self.violations.violations]

    def fault(self, name: str, begin: float, end: float | None) -> FaultRecord:
        """Record a fault that affects one name."""
        fault = Fault(
            FaultKind.KILL_ENTRY, 0, 1, name, affected_names=frozenset({name})
        )
        record = self.faults.record_start(fault, begin)
        record.ended_at = end
        return record


def snapshot(
    entry: str,
    at: float,
    workers: tuple[str, ...] = (),
    documents: dict[str, tuple[int, str]] | None = None,
) -> EntrySnapshot:
    """Return an entry snapshot; its pid is the number in the name."""
    return EntrySnapshot(
        entry,
        int(entry[1:]),
        at,
        "serving",
        frozenset(workers),
        documents or {},
    )


def call(
    body: bytes = b"",
    status: int | None = 200,
    start: float = 0.0,
    latency_s: float = 1.0,
) -> CallRecord:
    """Return a call of entry e1 whose request body has the digest ``d``."""
    outcome = Outcome.UNKNOWN if status is None else Outcome.ANSWERED
    return CallRecord(
        "s",
        "k",
        URL,
        outcome,
        "r1",
        status,
        latency_s,
        started_at=start,
        sent_sha256="d",
        body=body,
    )


def ledger(worker: str, start: float, **fields: object) -> Ledger:
    """Return a ledger with one execution."""
    execution = {
        "id": "r1/1",
        "kind": "request",
        "service": "s",
        "start": start,
        **fields,
    }
    return Ledger(
        worker=worker,
        executions=[Execution.model_validate(execution)],
        peaks={},
    )
