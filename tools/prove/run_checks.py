"""All checks of one run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.ledger_audit import LedgerAudit
from tools.prove.answer_check import AnswerCheck
from tools.prove.document_in_force_check import DocumentInForceCheck
from tools.prove.document_version_check import DocumentVersionCheck
from tools.prove.job_check import JobCheck
from tools.prove.leaving_worker_check import LeavingWorkerCheck
from tools.prove.planned_stop_check import PlannedStopCheck
from tools.prove.process_check import ProcessCheck
from tools.prove.takeover_check import TakeoverCheck
from tools.prove.violation_log import ViolationLog

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tools.call_record import CallRecord
    from tools.example_service import ExampleService
    from tools.job_driver import JobDriver
    from tools.ledger import Ledger
    from tools.managed_process import ManagedProcess
    from tools.prove.entry_snapshot_check import EntrySnapshotCheck
    from tools.prove.fault_log import FaultLog
    from tools.prove.topology import Topology


class RunChecks:
    """Creates the checks of a run and applies those of its end."""

    def __init__(self, topology: Topology, faults: FaultLog) -> None:
        """Create the checks, which share one log of violations.

        :param topology: entries and workers of each availability zone
        :param faults: faults injected in the run
        """
        self._violations = ViolationLog(faults)
        self._takeover = TakeoverCheck(topology, faults, self._violations)
        self._in_force = DocumentInForceCheck(faults, self._violations)
        self._leaving = LeavingWorkerCheck(topology, faults, self._violations)
        self._stops = PlannedStopCheck(topology, faults, self._violations)
        self._processes = ProcessCheck(self._violations)
        self._jobs = JobCheck(self._violations)

    @property
    def violations(self) -> ViolationLog:
        """Return the log of violations of all checks."""
        return self._violations

    @property
    def takeover(self) -> TakeoverCheck:
        """Return the check of workers of killed entries."""
        return self._takeover

    @property
    def in_force(self) -> DocumentInForceCheck:
        """Return the check of the time until documents are in force."""
        return self._in_force

    @property
    def leaving(self) -> LeavingWorkerCheck:
        """Return the check of leaving workers."""
        return self._leaving

    @property
    def stops(self) -> PlannedStopCheck:
        """Return the check of planned stops."""
        return self._stops

    @property
    def processes(self) -> ProcessCheck:
        """Return the check of the entry processes."""
        return self._processes

    def create_snapshot_checks(self) -> tuple[EntrySnapshotCheck, ...]:
        """Return the checks of entry snapshots."""
        return (
            DocumentVersionCheck(self._violations),
            self._in_force,
            self._takeover,
        )

    def check_open_jobs(self, drivers: Sequence[JobDriver]) -> None:
        """Check the jobs that have not ended.

        :param drivers: submitters of all jobs
        """
        for driver in drivers:
            self._jobs.check_open_jobs(
                {job: driver.states[job] for job in driver.open_jobs}
            )

    def check_load(
        self,
        services: Sequence[ExampleService],
        calls: Sequence[CallRecord],
        drivers: Sequence[JobDriver],
        ledgers: Sequence[Ledger],
    ) -> None:
        """Compare what callers were told with the ledgers of the workers.

        :param services: services of the load
        :param calls: calls with their outcomes
        :param drivers: submitters of all jobs
        :param ledgers: ledgers of all workers
        """
        audit = LedgerAudit(services, ledgers, calls)
        for finding in audit.findings().all:
            self._violations.record_check(False, finding)
        for _ in calls:
            self._violations.record_check(True, "")
        AnswerCheck(self._violations).check_answers(calls, ledgers)
        self._leaving.check_executions(ledgers)
        self._stops.check_calls(calls)
        for driver in drivers:
            self._jobs.check_executions(driver.done_reported_at, ledgers)

    def check_finished_entries(
        self, entries: Sequence[ManagedProcess]
    ) -> None:
        """Check exit codes and output of the entries.

        :param entries: entry processes, all of which have ended
        """
        for process in entries:
            self._processes.check_finished_process(
                process.spec.name, process.exit_code, process.stderr_text()
            )
