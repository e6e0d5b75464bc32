"""One randomised run over the processes of a deployment."""

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
from tools.prove.cancel_wave import CancelWave
from tools.prove.edit_race import EditRace
from tools.prove.entry_cut import EntryCut
from tools.prove.entry_kill import EntryKill
from tools.prove.entry_pause import EntryPause
from tools.prove.entry_stop import EntryStop
from tools.prove.entry_watch import EntryWatch
from tools.prove.fault_kind import FaultKind
from tools.prove.fault_log import FaultLog
from tools.prove.in_force_check import InForceCheck
from tools.prove.injector import Injector
from tools.prove.job_check import JobCheck
from tools.prove.leaving_check import LeavingCheck
from tools.prove.ledger_archive import LedgerArchive
from tools.prove.process_check import ProcessCheck
from tools.prove.relay_port_map import RelayPortMap
from tools.prove.schedule import Schedule
from tools.prove.silence import Silence
from tools.prove.source_finder import SourceFinder
from tools.prove.standin_fault import StandinFault
from tools.prove.stop_check import StopCheck
from tools.prove.summary import Summary
from tools.prove.takeover_check import TakeoverCheck
from tools.prove.topology import Topology
from tools.prove.version_check import VersionCheck
from tools.prove.violation_log import ViolationLog
from tools.prove.worker_leave import WorkerLeave
from tools.prove.worker_restart import WorkerRestart
from tools.prove.zone_cut import ZoneCut

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from tools.call_record import CallRecord
    from tools.deployment import Deployment
    from tools.example_service import ExampleService
    from tools.ledger import Ledger
    from tools.prove.fault_action import FaultAction

_JOBS_LIMIT_S = 120.0
# After the last fault the documents have 16 s to come into force.
_SETTLE_S = 18.0
_IDEMPOTENT_CALLERS = 10
_NON_IDEMPOTENT_CALLERS = 6
_PAUSE_S = 0.15
_RESEND_AFTER_S = 1.0
_JOB_PAUSE_S = 0.6
_JOB_RUN_S = 3.0
_REFRESH_S = 2.0
_MAX_REQUESTS = 50_000


class Prover:
    """Starts the deployment, breaks it and checks what came of it."""

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

        :param deployment: what to start
        :param directory: where settings, tokens and output go
        :param documents: directory of the service documents
        :param services: services of these documents
        :param seed: decides everything that is random
        :param seconds: length of the load and the faults
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
            SourceFinder(self._topology.all_entries).find
        )
        self._launcher = Launcher(
            deployment, directory, port_map=self._port_map
        )
        self._faults = FaultLog()
        self._log = ViolationLog(self._faults)
        self._takeover = TakeoverCheck(self._topology, self._faults, self._log)
        self._in_force = InForceCheck(self._faults, self._log)
        self._leaving = LeavingCheck(self._topology, self._faults, self._log)
        self._stops = StopCheck(self._topology, self._faults, self._log)
        self._processes = ProcessCheck(self._log)
        self._job_check = JobCheck(self._log)

    async def run(self) -> Summary:
        """Run everything; all processes have ended when this returns."""
        started = await self._launcher.start()
        if isinstance(started, Err):
            return self._failed(str(started.err_value))
        forced: tuple[str, ...] = ()
        try:
            summary = await self._use()
        finally:
            self._say("stopping all processes")
            forced = await self._launcher.stop()
        if forced:
            self._say(f"killed at the end: {', '.join(forced)}")
        for process in self._launcher.entries:
            self._processes.finished(
                process.spec.name, process.exit_code, process.stderr_text()
            )
        return self._finish(summary, len(forced))

    async def _use(self) -> Summary:
        failure = await apply_documents(self._launcher, self._documents)
        if failure is not None:
            return self._failed(failure)
        async with (
            HttpCaller() as callers,
            HttpCaller() as watcher,
            HttpCaller() as faulter,
        ):
            return await self._load(callers, watcher, faulter)

    async def _load(
        self, callers: HttpCaller, watcher: HttpCaller, faulter: HttpCaller
    ) -> Summary:
        rotation = EntryRotation(
            process.spec.url or "" for process in self._launcher.entries
        )
        token = self._launcher.token("callers")
        generators = [
            LoadGenerator(
                service, self._plan(service), rotation, callers, token
            )
            for service in self._services
            if service.kind is ServiceKind.LATENCY_CRITICAL
        ]
        drivers = [
            JobDriver(service.name, rotation, callers, token)
            for service in self._services
            if service.kind is ServiceKind.BATCH
        ]
        archive = LedgerArchive(faulter)
        wave = CancelWave(drivers, Random(f"{self._seed}/jobs"))
        actions = self._actions(faulter, rotation, archive, wave)
        watch = EntryWatch(
            self._launcher,
            watcher,
            rotation,
            self._faults,
            self._processes,
            (
                VersionCheck(self._log),
                self._in_force,
                self._takeover,
            ),
        )
        watching = asyncio.ensure_future(watch.run())
        try:
            await self._break(actions, generators, drivers)
            await self._wait_for_jobs(drivers)
        finally:
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)
        read = await read_ledgers(faulter, self._launcher.worker_urls)
        if isinstance(read, Err):
            return self._failed(read.err_value)
        calls = [
            record for generator in generators for record in generator.records
        ]
        self._judge(calls, drivers, [*archive.ledgers, *read.ok_value])
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
            + watch.sightings
            + sum(self._faults.counts.values()),
            calls=dict(Counter(str(call.outcome) for call in calls)),
            jobs=dict(jobs),
            cancellations=wave.cancelled,
        )

    async def _break(
        self,
        actions: dict[FaultKind, FaultAction],
        generators: Sequence[LoadGenerator],
        drivers: Sequence[JobDriver],
    ) -> None:
        schedule = Schedule(
            self._topology,
            [service.name for service in self._services],
            Random(self._seed),
            self._seconds,
        )
        self._say(f"{len(schedule.faults)} faults in {self._seconds:g} s")
        injector = Injector(actions, self._faults)
        async with asyncio.TaskGroup() as group:
            refreshing = [
                group.create_task(self._refresh(driver)) for driver in drivers
            ]
            loading = [
                group.create_task(generator.run()) for generator in generators
            ]
            loading += [
                group.create_task(self._submit(driver)) for driver in drivers
            ]
            loading.append(group.create_task(injector.run(schedule.faults)))
            await asyncio.wait(loading)
            for task in refreshing:
                task.cancel()

    async def _wait_for_jobs(self, drivers: Sequence[JobDriver]) -> None:
        self._say("waiting for the end of all jobs")
        await asyncio.gather(
            asyncio.sleep(_SETTLE_S),
            *(driver.wait(_JOBS_LIMIT_S) for driver in drivers),
        )
        for driver in drivers:
            self._job_check.judge_open(
                {job: driver.states[job] for job in driver.open_jobs}
            )

    def _judge(
        self,
        calls: Sequence[CallRecord],
        drivers: Sequence[JobDriver],
        ledgers: Sequence[Ledger],
    ) -> None:
        audit = LedgerAudit(self._services, ledgers, calls)
        for finding in audit.findings().all:
            self._log.check(False, finding)
        for _ in calls:
            self._log.check(True, "")
        AnswerCheck(self._log).judge(calls, ledgers)
        self._leaving.judge(ledgers)
        self._stops.judge(calls)
        for driver in drivers:
            self._job_check.judge(driver.done_reported_at, ledgers)

    def _actions(
        self,
        caller: HttpCaller,
        rotation: EntryRotation,
        archive: LedgerArchive,
        wave: CancelWave,
    ) -> dict[FaultKind, FaultAction]:
        launcher, log = self._launcher, self._log
        standin = StandinFault(launcher, caller)
        leave = WorkerLeave(launcher, caller, self._leaving)
        actions: dict[FaultKind, FaultAction] = {
            FaultKind.KILL_ENTRY: EntryKill(launcher, self._takeover, log),
            FaultKind.PAUSE_ENTRY: EntryPause(launcher),
            FaultKind.STOP_ENTRY: EntryStop(launcher, self._stops, log),
            FaultKind.CUT_ZONE: ZoneCut(self._port_map, self._topology),
            FaultKind.CUT_ENTRY: EntryCut(self._port_map),
            FaultKind.SILENCE: Silence(self._port_map),
            FaultKind.RESTART_WORKERS: WorkerRestart(
                launcher, archive, self._leaving, log
            ),
            FaultKind.LEAVE_WORKER: leave,
            FaultKind.LEAVE_VM: leave,
            FaultKind.EDIT_RACE: EditRace(
                rotation,
                caller,
                launcher.token("operators"),
                self._in_force,
                Random(f"{self._seed}/edits"),
            ),
            FaultKind.CANCEL_WAVE: wave,
        }
        return {kind: actions.get(kind, standin) for kind in FaultKind}

    def _finish(self, summary: Summary, forced: int) -> Summary:
        return Summary(
            summary.seed,
            summary.seconds,
            summary.steps,
            self._faults.counts,
            self._log.checks,
            len(self._log.violations),
            summary.calls,
            summary.jobs,
            summary.cancellations,
            self._in_force.edit_count,
            round(self._takeover.slowest_s, 2),
            forced,
            summary.error,
        )

    def _failed(self, error: str) -> Summary:
        self._say(error)
        return Summary(self._seed, self._seconds, error=error)

    def _plan(self, service: ExampleService) -> LoadPlan:
        callers = _NON_IDEMPOTENT_CALLERS
        if service.idempotent:
            callers = _IDEMPOTENT_CALLERS
        return LoadPlan(
            callers,
            _PAUSE_S,
            self._seconds,
            _MAX_REQUESTS,
            resend_after_s=_RESEND_AFTER_S,
        )

    async def _submit(self, driver: JobDriver) -> None:
        # Submissions take long in an outage, so their number does not bound
        # the time.
        with suppress(TimeoutError):
            async with asyncio.timeout(self._seconds):
                await driver.submit(
                    int(self._seconds / _JOB_PAUSE_S),
                    _JOB_PAUSE_S,
                    _JOB_RUN_S,
                )

    @staticmethod
    async def _refresh(driver: JobDriver) -> None:
        while True:
            await driver.refresh()
            await asyncio.sleep(_REFRESH_S)

    @staticmethod
    def _say(text: str) -> None:
        print(f"prove: {text}", file=sys.stderr, flush=True)
