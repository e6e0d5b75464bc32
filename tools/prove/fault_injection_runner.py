"""One run of a deployment under load and random faults."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import suppress
from random import Random
import sys
from typing import TYPE_CHECKING

from result import Err

from carawaystep.document.service_kind import ServiceKind
from tools.document_setup import apply_documents
from tools.entry_rotation import EntryRotation
from tools.http_caller import HttpCaller
from tools.job_driver import JobDriver
from tools.launcher import Launcher
from tools.ledger_audit import LedgerAudit
from tools.ledger_reader import read_ledgers
from tools.load_generator import LoadGenerator
from tools.load_plan import LoadPlan
from tools.prove.answer_check import AnswerCheck
from tools.prove.bulk_cancellation import BulkCancellation
from tools.prove.connection_silence import ConnectionSilence
from tools.prove.document_in_force_check import DocumentInForceCheck
from tools.prove.document_version_check import DocumentVersionCheck
from tools.prove.edit_race import EditRace
from tools.prove.entry_kill import EntryKill
from tools.prove.entry_monitor import EntryMonitor
from tools.prove.entry_partition import EntryPartition
from tools.prove.entry_pause import EntryPause
from tools.prove.entry_stop import EntryStop
from tools.prove.fault_injector import FaultInjector
from tools.prove.fault_kind import FaultKind
from tools.prove.fault_log import FaultLog
from tools.prove.fault_schedule import FaultSchedule
from tools.prove.job_check import JobCheck
from tools.prove.leaving_worker_check import LeavingWorkerCheck
from tools.prove.ledger_archive import LedgerArchive
from tools.prove.planned_stop_check import PlannedStopCheck
from tools.prove.process_check import ProcessCheck
from tools.prove.relay_port_map import RelayPortMap
from tools.prove.source_finder import SourceFinder
from tools.prove.standin_fault import StandinFault
from tools.prove.summary import Summary
from tools.prove.takeover_check import TakeoverCheck
from tools.prove.topology import Topology
from tools.prove.violation_log import ViolationLog
from tools.prove.worker_leave import WorkerLeave
from tools.prove.worker_restart import WorkerRestart
from tools.prove.zone_partition import ZonePartition

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from tools.call_record import CallRecord
    from tools.deployment import Deployment
    from tools.example_service import ExampleService
    from tools.ledger import Ledger
    from tools.prove.fault_action import FaultAction

_JOBS_END_TIMEOUT_S = 120.0
# Longer than the 16 s in which documents must come into force.
_MIN_WAIT_AFTER_FAULTS_S = 18.0
_CALLERS_PER_IDEMPOTENT_SERVICE = 10
_CALLERS_PER_NON_IDEMPOTENT_SERVICE = 6
_CALL_PAUSE_S = 0.15
_RESEND_AFTER_S = 1.0
_JOB_SUBMIT_PAUSE_S = 0.6
_JOB_RUN_S = 3.0
_JOB_POLL_INTERVAL_S = 2.0
_MAX_REQUESTS_PER_SERVICE = 50_000


class FaultInjectionRunner:
    """Starts a deployment, puts load and faults on it and runs all checks."""

    def __init__(
        self,
        deployment: Deployment,
        directory: Path,
        documents: Path,
        services: Sequence[ExampleService],
        seed: int,
        seconds: float,
    ) -> None:
        """Create a run; nothing is started yet.

        :param deployment: deployment to start
        :param directory: directory for settings, tokens and output
        :param documents: directory of the service documents
        :param services: services of these documents
        :param seed: seed of all random choices
        :param seconds: duration of the load and of the fault injection
        """
        self._documents = documents
        self._services = services
        self._seed = seed
        self._seconds = seconds
        names = deployment.entry_names(deployment.entry_count)
        self._topology = Topology(
            {zone: tuple(entries) for zone, entries in names.items()},
            {
                zone.name: tuple(worker.name for worker in zone.workers)
                for zone in deployment.availability_zones
            },
        )
        self._port_map = RelayPortMap(
            SourceFinder(self._topology.all_entries).find_source
        )
        self._launcher = Launcher(
            deployment, directory, port_map=self._port_map
        )
        self._faults = FaultLog()
        self._violations = ViolationLog(self._faults)
        self._takeover = TakeoverCheck(
            self._topology, self._faults, self._violations
        )
        self._in_force = DocumentInForceCheck(self._faults, self._violations)
        self._leaving = LeavingWorkerCheck(
            self._topology, self._faults, self._violations
        )
        self._stops = PlannedStopCheck(
            self._topology, self._faults, self._violations
        )
        self._processes = ProcessCheck(self._violations)
        self._job_check = JobCheck(self._violations)

    async def run(self) -> Summary:
        """Run load, faults and checks.

        All processes have ended when this returns or raises.
        """
        started = await self._launcher.start()
        if isinstance(started, Err):
            return self._create_failed_summary(str(started.err_value))
        forced: tuple[str, ...] = ()
        try:
            summary = await self._run_with_documents()
        finally:
            self._print_progress("stopping all processes")
            forced = await self._launcher.stop()
        if forced:
            self._print_progress(
                f"needed SIGKILL at the end: {', '.join(forced)}"
            )
        for process in self._launcher.entries:
            self._processes.check_finished_process(
                process.spec.name, process.exit_code, process.stderr_text()
            )
        return self._complete_summary(summary, len(forced))

    async def _run_with_documents(self) -> Summary:
        failure = await apply_documents(self._launcher, self._documents)
        if failure is not None:
            return self._create_failed_summary(failure)
        async with (
            HttpCaller() as load_caller,
            HttpCaller() as monitor_caller,
            HttpCaller() as fault_caller,
        ):
            return await self._run_load_and_checks(
                load_caller, monitor_caller, fault_caller
            )

    async def _run_load_and_checks(
        self,
        load_caller: HttpCaller,
        monitor_caller: HttpCaller,
        fault_caller: HttpCaller,
    ) -> Summary:
        rotation = EntryRotation(
            process.spec.url or "" for process in self._launcher.entries
        )
        token = self._launcher.token("callers")
        generators = [
            LoadGenerator(
                service,
                self._create_load_plan(service),
                rotation,
                load_caller,
                token,
            )
            for service in self._services
            if service.kind is ServiceKind.LATENCY_CRITICAL
        ]
        drivers = [
            JobDriver(service.name, rotation, load_caller, token)
            for service in self._services
            if service.kind is ServiceKind.BATCH
        ]
        archive = LedgerArchive(fault_caller)
        cancellation = BulkCancellation(drivers, Random(f"{self._seed}/jobs"))
        actions = self._create_actions(
            fault_caller, rotation, archive, cancellation
        )
        monitor = EntryMonitor(
            self._launcher,
            monitor_caller,
            rotation,
            self._faults,
            self._processes,
            (
                DocumentVersionCheck(self._violations),
                self._in_force,
                self._takeover,
            ),
        )
        monitoring = asyncio.ensure_future(monitor.run())
        try:
            await self._run_load_under_faults(actions, generators, drivers)
            await self._wait_for_jobs(drivers)
        finally:
            monitoring.cancel()
            await asyncio.gather(monitoring, return_exceptions=True)
        read = await read_ledgers(fault_caller, self._launcher.worker_urls)
        if isinstance(read, Err):
            return self._create_failed_summary(read.err_value)
        calls = [
            record for generator in generators for record in generator.records
        ]
        self._run_final_checks(
            calls, drivers, [*archive.ledgers, *read.ok_value]
        )
        jobs = Counter(
            str(state)
            for driver in drivers
            for state in driver.states.values()
        )
        return Summary(
            self._seed,
            self._seconds,
            steps=len(calls)
            + sum(jobs.values())
            + self._in_force.edit_count
            + monitor.snapshot_count
            + sum(self._faults.counts_by_kind.values()),
            calls=dict(Counter(str(call.outcome) for call in calls)),
            jobs=dict(jobs),
            cancellations=cancellation.accepted_count,
        )

    async def _run_load_under_faults(
        self,
        actions: dict[FaultKind, FaultAction],
        generators: Sequence[LoadGenerator],
        drivers: Sequence[JobDriver],
    ) -> None:
        schedule = FaultSchedule(
            self._topology,
            [service.name for service in self._services],
            Random(self._seed),
            self._seconds,
        )
        self._print_progress(
            f"{len(schedule.faults)} faults in {self._seconds:g} s"
        )
        injector = FaultInjector(actions, self._faults)
        async with asyncio.TaskGroup() as group:
            polling = [
                group.create_task(self._poll_job_states(driver))
                for driver in drivers
            ]
            loading = [
                group.create_task(generator.run()) for generator in generators
            ]
            loading += [
                group.create_task(self._submit_jobs(driver))
                for driver in drivers
            ]
            loading.append(group.create_task(injector.run(schedule.faults)))
            await asyncio.wait(loading)
            for task in polling:
                task.cancel()

    async def _wait_for_jobs(self, drivers: Sequence[JobDriver]) -> None:
        self._print_progress("waiting for the end of all jobs")
        await asyncio.gather(
            asyncio.sleep(_MIN_WAIT_AFTER_FAULTS_S),
            *(driver.wait(_JOBS_END_TIMEOUT_S) for driver in drivers),
        )
        for driver in drivers:
            self._job_check.check_open_jobs(
                {job: driver.states[job] for job in driver.open_jobs}
            )

    def _run_final_checks(
        self,
        calls: Sequence[CallRecord],
        drivers: Sequence[JobDriver],
        ledgers: Sequence[Ledger],
    ) -> None:
        audit = LedgerAudit(self._services, ledgers, calls)
        for finding in audit.findings().all:
            self._violations.record_check(False, finding)
        for _ in calls:
            self._violations.record_check(True, "")
        AnswerCheck(self._violations).check_answers(calls, ledgers)
        self._leaving.check_executions(ledgers)
        self._stops.check_calls(calls)
        for driver in drivers:
            self._job_check.check_executions(driver.done_reported_at, ledgers)

    def _create_actions(
        self,
        caller: HttpCaller,
        rotation: EntryRotation,
        archive: LedgerArchive,
        cancellation: BulkCancellation,
    ) -> dict[FaultKind, FaultAction]:
        launcher, violations = self._launcher, self._violations
        standin = StandinFault(launcher, caller)
        leave = WorkerLeave(launcher, caller, self._leaving)
        actions: dict[FaultKind, FaultAction] = {
            FaultKind.KILL_ENTRY: EntryKill(
                launcher, self._takeover, violations
            ),
            FaultKind.PAUSE_ENTRY: EntryPause(launcher),
            FaultKind.STOP_ENTRY: EntryStop(launcher, self._stops, violations),
            FaultKind.CUT_ZONE: ZonePartition(self._port_map, self._topology),
            FaultKind.CUT_ENTRY: EntryPartition(self._port_map),
            FaultKind.SILENCE: ConnectionSilence(self._port_map),
            FaultKind.RESTART_WORKERS: WorkerRestart(
                launcher, archive, self._leaving, violations
            ),
            FaultKind.WORKER_LEAVES: leave,
            FaultKind.VM_LEAVES: leave,
            FaultKind.EDIT_RACE: EditRace(
                rotation,
                caller,
                launcher.token("operators"),
                self._in_force,
                Random(f"{self._seed}/edits"),
            ),
            FaultKind.CANCEL_WAVE: cancellation,
        }
        return {kind: actions.get(kind, standin) for kind in FaultKind}

    def _complete_summary(self, summary: Summary, forced: int) -> Summary:
        return Summary(
            summary.seed,
            summary.seconds,
            summary.steps,
            self._faults.counts_by_kind,
            self._violations.check_count,
            len(self._violations.violations),
            summary.calls,
            summary.jobs,
            summary.cancellations,
            self._in_force.edit_count,
            round(self._takeover.slowest_takeover_s, 2),
            forced,
            summary.error,
        )

    def _create_failed_summary(self, error: str) -> Summary:
        self._print_progress(error)
        return Summary(self._seed, self._seconds, error=error)

    def _create_load_plan(self, service: ExampleService) -> LoadPlan:
        caller_count = _CALLERS_PER_NON_IDEMPOTENT_SERVICE
        if service.idempotent:
            caller_count = _CALLERS_PER_IDEMPOTENT_SERVICE
        return LoadPlan(
            caller_count,
            _CALL_PAUSE_S,
            self._seconds,
            _MAX_REQUESTS_PER_SERVICE,
            resend_after_s=_RESEND_AFTER_S,
        )

    async def _submit_jobs(self, driver: JobDriver) -> None:
        # Submissions take longer in an outage, so their number does not limit
        # the time.
        with suppress(TimeoutError):
            async with asyncio.timeout(self._seconds):
                await driver.submit(
                    int(self._seconds / _JOB_SUBMIT_PAUSE_S),
                    _JOB_SUBMIT_PAUSE_S,
                    _JOB_RUN_S,
                )

    @staticmethod
    async def _poll_job_states(driver: JobDriver) -> None:
        while True:
            await driver.refresh()
            await asyncio.sleep(_JOB_POLL_INTERVAL_S)

    @staticmethod
    def _print_progress(text: str) -> None:
        print(f"prove: {text}", file=sys.stderr, flush=True)
