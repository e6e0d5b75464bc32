"""Randomised simulation of the real entry code in virtual time."""

from __future__ import annotations

import asyncio
import random
from random import Random

import looptime
from result import Ok

from carawaystep.settings.standin_worker_settings import StandinServiceSettings
from tests.fakes.fake_fleet import FakeFleet
from tests.proof.documents import SERVICES
from tests.proof.documents import TEXTS
from tests.proof.fault_driver import FaultDriver
from tests.proof.simulated_callers import SimulatedCallers
from tests.proof.simulation_log import SimulationLog
from tools.ledger import Execution
from tools.ledger import Ledger
from tools.ledger_audit import LedgerAudit

# Time after the last fault within which every accepted job must end. It covers
# a takeover, a lease with its margin and a queue of the longest jobs.
_JOBS_END_TIMEOUT_S = 600.0
_CHECK_INTERVAL_S = 0.5
# One recheck uses most of the cores, so that a worker runs out of cores before
# it runs out of slots.
DEFAULT_WORKER_CORES = 6.0
_EDIT_TIMEOUT_S = 30.0


class Simulation:
    """One run with load and faults, then an audit of the ledgers.

    After the last fault it waits until every accepted job has ended.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        slots: int = 4,
        cpu: float = DEFAULT_WORKER_CORES,
    ) -> None:
        """Create a simulation.

        :param seed: seed of all random decisions
        :param seconds: virtual duration of load and faults
        :param slots: slots of each worker
        :param cpu: cores of each worker
        """
        self._random = Random(seed)
        self._seconds = seconds
        self._slots = slots
        self._cpu = cpu
        self._last_versions: dict[tuple[str, str], int] = {}
        self.log = SimulationLog()

    def run(self) -> SimulationLog:
        """Run in an event loop that skips all waiting times."""
        # The entry code draws its jitter from the module-level generator.
        random.seed(self._random.random())
        with asyncio.Runner(loop_factory=_new_loop) as runner:
            runner.run(self._run_bounded())
        return self.log

    async def _run_bounded(self) -> None:
        limit_s = self._seconds + 2 * _JOBS_END_TIMEOUT_S
        try:
            async with asyncio.timeout(limit_s):
                await self._run()
        except TimeoutError:
            self.log.check(False, f"the run did not end within {limit_s:g} s")

    async def _run(self) -> None:
        fleet = FakeFleet(
            self._random,
            slots=self._slots,
            cpu=self._cpu,
            services={
                "bookings": StandinServiceSettings(median_ms=60),
                "charges": StandinServiceSettings(median_ms=80),
            },
        )
        await fleet.start_all()
        for service, text in TEXTS.items():
            node = next(iter(fleet.nodes.values()))
            await node.put_document(service, text, 0, None)
        await asyncio.sleep(12)
        loop = asyncio.get_running_loop()
        until = loop.time() + self._seconds
        callers = SimulatedCallers(fleet, self._random, self.log)
        driver = FaultDriver(fleet, callers, self._random, self.log)
        entry_checks = asyncio.create_task(self._check_entries(fleet))
        edits = asyncio.create_task(self._edit_documents(fleet, until))
        await asyncio.gather(callers.run(until), driver.run(until), edits)
        await callers.finish()
        await self._wait_for_jobs(fleet, callers)
        entry_checks.cancel()
        self._audit_ledgers(fleet, callers)
        self.log.faults.update(fleet.network.injected)
        await fleet.stop()

    async def _check_entries(self, fleet: FakeFleet) -> None:
        """Check that document versions never decrease on an entry.

        Also check that no entry has found a broken invariant.
        """
        while True:
            for name, node in fleet.nodes.items():
                process = fleet.process_name(name)
                for document in node.documents():
                    key = (process, document.service)
                    before = self._last_versions.get(key, 0)
                    self.log.check(
                        document.version >= before,
                        f"document {document.service} reverted at {process}",
                    )
                    self._last_versions[key] = document.version
                self.log.check(
                    not node.supervisor.has_broken_invariant,
                    f"{process} found a broken invariant",
                )
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def _edit_documents(self, fleet: FakeFleet, until: float) -> None:
        """Let two operators repeatedly edit one document at the same time."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self._random.uniform(2, 12))
            ready = [node for node in fleet.nodes.values() if node.ready]
            if not ready:
                continue
            editors = [self._random.choice(ready) for _ in range(2)]
            known_version = next(
                (
                    document.version
                    for document in editors[0].documents()
                    if document.service == "bookings"
                ),
                0,
            )
            texts = [f"{TEXTS['bookings']}# {loop.time()} {n}\n" for n in "ab"]
            # An entry that is killed during the call does not reply, hence
            # the timeout and the returned exceptions.
            replies = await asyncio.gather(
                *(
                    asyncio.wait_for(
                        editor.put_document(
                            "bookings", text, known_version, None
                        ),
                        _EDIT_TIMEOUT_S,
                    )
                    for editor, text in zip(editors, texts, strict=True)
                ),
                return_exceptions=True,
            )
            accepted_count = sum(isinstance(result, Ok) for result in replies)
            self.log.check(
                accepted_count <= 1,
                "two concurrent edits of one version were accepted",
            )

    async def _wait_for_jobs(
        self, fleet: FakeFleet, callers: SimulatedCallers
    ) -> None:
        """Wait until all accepted jobs have ended."""
        loop = asyncio.get_running_loop()
        limit = loop.time() + _JOBS_END_TIMEOUT_S
        open_jobs = set(callers.jobs)
        while open_jobs and loop.time() < limit:
            await asyncio.sleep(5)
            node = next(iter(fleet.nodes.values()))
            for job_id in sorted(open_jobs):
                found = await node.find_job(job_id)
                if isinstance(found, Ok) and found.ok_value.ended:
                    open_jobs.discard(job_id)
        self.log.check(not open_jobs, f"jobs never ended: {open_jobs}")

    def _audit_ledgers(
        self, fleet: FakeFleet, callers: SimulatedCallers
    ) -> None:
        ledgers = _ledgers(fleet)
        findings = LedgerAudit(SERVICES, ledgers, callers.records).findings()
        for violation in (
            *fleet.dispatch_violations,
            *findings.executed_twice,
            *findings.overcommitted,
            *findings.disagreements,
        ):
            self.log.check(False, violation)
        self.log.checks += len(callers.records) + len(callers.jobs)
        self.log.checks += sum(len(ledger.executions) for ledger in ledgers)


def _new_loop() -> asyncio.AbstractEventLoop:
    # All work runs in this loop, so one empty cycle means that it is waiting.
    # The default of 42 cycles took 2.6 times as much CPU time.
    return looptime.new_event_loop(noop_cycles=1)


def _ledgers(fleet: FakeFleet) -> list[Ledger]:
    ledgers = []
    for worker in fleet.workers.values():
        for number, (standin_worker, ended_at) in enumerate(
            worker.incarnations
        ):
            ledgers.append(
                Ledger(
                    worker=f"{worker.name}#{number}",
                    executions=[
                        Execution(
                            id=execution.id,
                            kind=execution.kind.value,
                            key=execution.key,
                            service=execution.service,
                            attempt=execution.attempt,
                            start=execution.start,
                            end=(
                                ended_at
                                if execution.end is None
                                else execution.end
                            ),
                            how=execution.how,
                            noted=worker.end_acknowledged(
                                number, execution.id, execution.attempt
                            ),
                        )
                        for execution in standin_worker.ledger.executions
                    ],
                    peaks={
                        name: (peak.highest, peak.limit)
                        for name, peak in standin_worker.ledger.peaks.items()
                    },
                )
            )
    return ledgers
