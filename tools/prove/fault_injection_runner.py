"""One run of a deployment under load and random faults."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import asynccontextmanager
from dataclasses import replace
from random import Random
import sys
from typing import TYPE_CHECKING

from result import Err

from tools.document_setup import apply_documents
from tools.entry_rotation import EntryRotation
from tools.http_caller import HttpCaller
from tools.launcher import Launcher
from tools.ledger_reader import read_ledgers
from tools.prove.bulk_cancellation import BulkCancellation
from tools.prove.entry_monitor import EntryMonitor
from tools.prove.fault_actions import FaultActions
from tools.prove.fault_injector import FaultInjector
from tools.prove.fault_log import FaultLog
from tools.prove.fault_schedule import FaultSchedule
from tools.prove.ledger_archive import LedgerArchive
from tools.prove.relay_port_map import RelayPortMap
from tools.prove.run_checks import RunChecks
from tools.prove.run_load import RunLoad
from tools.prove.source_finder import SourceFinder
from tools.prove.summary import Summary
from tools.prove.topology import Topology

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Mapping
    from collections.abc import Sequence
    from pathlib import Path

    from tools.deployment import Deployment
    from tools.example_service import ExampleService
    from tools.prove.fault_action import FaultAction
    from tools.prove.fault_kind import FaultKind

# Longer than the 16 s in which documents must come into force.
_MIN_WAIT_AFTER_FAULTS_S = 18.0


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
        self._checks = RunChecks(self._topology, self._faults)

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
            _print_progress("stopping all processes")
            forced = await self._launcher.stop()
        if forced:
            _print_progress(f"needed SIGKILL at the end: {', '.join(forced)}")
        self._checks.check_finished_entries(self._launcher.entries)
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
        load = RunLoad(
            self._services,
            self._seconds,
            rotation,
            load_caller,
            self._launcher.token("callers"),
        )
        archive = LedgerArchive(fault_caller)
        cancellation = BulkCancellation(
            load.drivers, Random(f"{self._seed}/jobs")
        )
        actions = FaultActions(
            self._launcher,
            self._topology,
            self._port_map,
            self._checks,
            fault_caller,
            rotation,
        ).create(archive, cancellation, Random(f"{self._seed}/edits"))
        async with self._monitor_entries(monitor_caller, rotation) as monitor:
            await self._run_load_under_faults(actions, load)
            _print_progress("waiting for the end of all jobs")
            await load.wait_for_jobs(_MIN_WAIT_AFTER_FAULTS_S)
            self._checks.check_open_jobs(load.drivers)
        read = await read_ledgers(fault_caller, self._launcher.worker_urls)
        if isinstance(read, Err):
            return self._create_failed_summary(read.err_value)
        calls = load.calls
        self._checks.check_load(
            self._services,
            calls,
            load.drivers,
            [*archive.ledgers, *read.ok_value],
        )
        jobs = load.job_counts
        return Summary(
            self._seed,
            self._seconds,
            steps=len(calls)
            + sum(jobs.values())
            + self._checks.in_force.edit_count
            + monitor.snapshot_count
            + sum(self._faults.counts_by_kind.values()),
            calls=dict(Counter(str(call.outcome) for call in calls)),
            jobs=dict(jobs),
            cancellations=cancellation.accepted_count,
        )

    @asynccontextmanager
    async def _monitor_entries(
        self, caller: HttpCaller, rotation: EntryRotation
    ) -> AsyncIterator[EntryMonitor]:
        monitor = EntryMonitor(
            self._launcher,
            caller,
            rotation,
            self._faults,
            self._checks.processes,
            self._checks.create_snapshot_checks(),
        )
        monitoring = asyncio.ensure_future(monitor.run())
        try:
            yield monitor
        finally:
            monitoring.cancel()
            await asyncio.gather(monitoring, return_exceptions=True)

    async def _run_load_under_faults(
        self, actions: Mapping[FaultKind, FaultAction], load: RunLoad
    ) -> None:
        schedule = FaultSchedule(
            self._topology,
            [service.name for service in self._services],
            Random(self._seed),
            self._seconds,
        )
        _print_progress(
            f"{len(schedule.faults)} faults in {self._seconds:g} s"
        )
        injector = FaultInjector(actions, self._faults)
        await load.run_beside(injector.run(schedule.faults))

    def _complete_summary(self, summary: Summary, forced: int) -> Summary:
        return replace(
            summary,
            faults=self._faults.counts_by_kind,
            checks=self._checks.violations.check_count,
            violations=len(self._checks.violations.violations),
            edits=self._checks.in_force.edit_count,
            slowest_takeover_s=round(
                self._checks.takeover.slowest_takeover_s, 2
            ),
            forced=forced,
        )

    def _create_failed_summary(self, error: str) -> Summary:
        _print_progress(error)
        return Summary(self._seed, self._seconds, error=error)


def _print_progress(text: str) -> None:
    print(f"prove: {text}", file=sys.stderr, flush=True)
