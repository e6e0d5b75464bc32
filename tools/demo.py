"""Runs a deployment under load, kills an entry and audits the ledgers."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from dataclasses import replace
from pathlib import Path  # noqa: TC003 (cappa reads the annotation)
import sys
from time import monotonic
from typing import Annotated
from typing import TYPE_CHECKING

import cappa
from result import Err

from tools.demo_summary import DemoSummary
from tools.demo_summary import summarize
from tools.deployment import load_deployment
from tools.document_setup import apply_documents
from tools.entry_rotation import EntryRotation
from tools.example_service import load_services
from tools.http_caller import HttpCaller
from tools.interruptible import run_interruptible
from tools.launch_options import EntryCountOption  # noqa: TC001
from tools.launch_options import ExampleArgument  # noqa: TC001
from tools.launch_options import RunDirectoryOption  # noqa: TC001
from tools.launcher import Launcher
from tools.ledger_audit import LedgerAudit
from tools.ledger_reader import read_ledgers
from tools.load_plan import LoadPlan
from tools.managed_process import REPOSITORY_ROOT
from tools.run_directory import copy_documents
from tools.run_directory import open_run_directory
from tools.service_load import ServiceLoad

if TYPE_CHECKING:
    from tools.example_service import ExampleService
    from tools.job_driver import JobDriver
    from tools.ledger import Ledger

_JOBS_TIMEOUT_S = 90.0
_JOBS_TIMEOUT_MARGIN_S = 10.0
_PROGRESS_INTERVAL_S = 5.0
# Each non-idempotent request writes its key at least twice, and all writes
# share the table service's limit of 400 a second.
_IDEMPOTENT_CALLERS = 12
_NON_IDEMPOTENT_CALLERS = 6
_CALLER_PAUSE_S = 0.2
_JOBS_PER_SERVICE = 30
_JOB_RUN_S = 3.0
_KILL_AT_FRACTION = 0.35
_STARTED_AT = monotonic()


@dataclass
class Demo:
    """Run an example under load and kill one of its entries."""

    example: ExampleArgument = "papadakis"
    seconds: Annotated[
        float,
        cappa.Arg(
            long=True,
            help="seconds for which requests are sent",
        ),
    ] = 20.0
    entries: EntryCountOption = None
    directory: RunDirectoryOption = None

    @property
    def _example_path(self) -> Path:
        return REPOSITORY_ROOT / "examples" / self.example

    async def run(self) -> int:
        """Run the demo and print its summary.

        :returns: exit code, 0 when all checks passed
        """
        with open_run_directory(self.directory) as directory:
            summary = await self._launch(directory)
        if summary.error is not None:
            self._log(summary.error)
        print(summary.to_json_line(), flush=True)
        return 0 if summary.passed else 1

    async def _launch(self, directory: Path) -> DemoSummary:
        loaded = load_deployment(
            self._example_path / "deployment.yaml", self.entries
        )
        if isinstance(loaded, Err):
            return DemoSummary(error=loaded.err_value)
        count = self.entries or loaded.ok_value.entry_count
        launcher = Launcher(loaded.ok_value, directory, count)
        self._log(f"starting {self.example} with {count} entries")
        started = await launcher.start()
        if isinstance(started, Err):
            return DemoSummary(error=str(started.err_value))
        forced: tuple[str, ...] = ()
        try:
            documents = copy_documents(self._example_path, directory)
            summary = await self._run_scenario(launcher, documents)
        finally:
            self._log("stopping all processes")
            forced = await launcher.stop()
        for name in forced:
            self._log(f"{name} did not stop after SIGTERM and was killed")
        return replace(summary, forced=len(forced))

    async def _run_scenario(
        self, launcher: Launcher, documents: Path
    ) -> DemoSummary:
        self._log("applying the documents")
        failure = await apply_documents(launcher, documents)
        if failure is not None:
            return DemoSummary(error=failure)
        services = load_services(documents)
        rotation = EntryRotation(
            process.spec.url or "" for process in launcher.entries
        )
        token = launcher.token("callers")
        async with HttpCaller() as caller:
            load = ServiceLoad(
                services, self._load_plan, rotation, caller, token
            )
            await self._generate_load(launcher, load)
            await self._wait_for_jobs(load.drivers)
            self._log("reading the ledgers of all workers")
            ledgers = await read_ledgers(caller, launcher.worker_urls)
        if isinstance(ledgers, Err):
            return DemoSummary(error=ledgers.err_value)
        return self._summarize(services, load, ledgers.ok_value)

    async def _generate_load(
        self, launcher: Launcher, load: ServiceLoad
    ) -> None:
        self._log(f"sending requests and jobs for {self.seconds:g} s")
        async with asyncio.TaskGroup() as group:
            for generator in load.generators:
                group.create_task(generator.run())
            pause_s = 0.8 * self.seconds / _JOBS_PER_SERVICE
            for driver in load.drivers:
                group.create_task(
                    driver.submit(_JOBS_PER_SERVICE, pause_s, _JOB_RUN_S)
                )
            group.create_task(self._kill_entry(launcher))
            group.create_task(self._log_progress(load))

    async def _kill_entry(self, launcher: Launcher) -> None:
        await asyncio.sleep(self.seconds * _KILL_AT_FRACTION)
        process = launcher.entries[len(launcher.entries) // 2]
        launcher.group.kill(process.spec.name)
        self._log(f"killed entry {process.spec.name} with SIGKILL")

    async def _log_progress(self, load: ServiceLoad) -> None:
        for _ in range(int(self.seconds / _PROGRESS_INTERVAL_S)):
            await asyncio.sleep(_PROGRESS_INTERVAL_S)
            outcomes = Counter(str(call.outcome) for call in load.calls)
            jobs = sum(driver.accepted_count for driver in load.drivers)
            self._log(f"calls so far {dict(outcomes)}, jobs accepted {jobs}")

    async def _wait_for_jobs(self, drivers: list[JobDriver]) -> None:
        accepted_count = sum(driver.accepted_count for driver in drivers)
        self._log(f"waiting for {accepted_count} jobs to end")
        async with asyncio.timeout(_JOBS_TIMEOUT_S + _JOBS_TIMEOUT_MARGIN_S):
            await asyncio.gather(
                *(driver.wait(_JOBS_TIMEOUT_S) for driver in drivers)
            )
        for driver in drivers:
            for job in driver.open_jobs:
                self._log(f"job {job} is still {driver.states[job]}")

    def _summarize(
        self,
        services: tuple[ExampleService, ...],
        load: ServiceLoad,
        ledgers: list[Ledger],
    ) -> DemoSummary:
        calls, drivers = load.calls, load.drivers
        findings = LedgerAudit(services, ledgers, calls).findings()
        for finding in findings.all:
            self._log(f"violation: {finding}")
        jobs = {
            job: state
            for driver in drivers
            for job, state in driver.states.items()
        }
        repeated_count = 0
        for driver in drivers:
            repeated_count += sum(driver.failures.values())
            if driver.failures:
                self._log(f"submissions not accepted: {driver.failures}")
        jobs_open = sum(len(driver.open_jobs) for driver in drivers)
        summary = summarize(calls, jobs, jobs_open, findings)
        return replace(summary, submissions_repeated=repeated_count)

    def _load_plan(self, service: ExampleService) -> LoadPlan:
        callers = _NON_IDEMPOTENT_CALLERS
        if service.idempotent:
            callers = _IDEMPOTENT_CALLERS
        return LoadPlan(callers, _CALLER_PAUSE_S, self.seconds)

    @staticmethod
    def _log(text: str) -> None:
        now_s = monotonic() - _STARTED_AT
        print(f"demo {now_s:5.1f} s: {text}", file=sys.stderr, flush=True)


def main() -> int:
    """Run the command line."""
    return run_interruptible(cappa.parse(Demo).run())


if __name__ == "__main__":
    sys.exit(main())
