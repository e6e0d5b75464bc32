"""Fault action that kills a stand-in worker process and restarts it."""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import TYPE_CHECKING

from result import Ok

from tools.prove.fault_action import FaultAction

if TYPE_CHECKING:
    from tools.launcher import Launcher
    from tools.prove.fault_record import FaultRecord
    from tools.prove.leaving_worker_check import LeavingWorkerCheck
    from tools.prove.ledger_archive import LedgerArchive
    from tools.prove.violation_log import ViolationLog


class WorkerRestart(FaultAction):
    """Makes all workers of a process lose fences, work and ledgers."""

    def __init__(
        self,
        launcher: Launcher,
        archive: LedgerArchive,
        check: LeavingWorkerCheck,
        violations: ViolationLog,
    ) -> None:
        """Create the action.

        :param launcher: owns the stand-in
        :param archive: saves the ledgers before the kill
        :param check: records the restart
        :param violations: records whether saving and restart succeeded
        """
        self._launcher = launcher
        self._archive = archive
        self._check = check
        self._violations = violations

    async def run(self, record: FaultRecord) -> None:
        """Save the ledgers, kill the process, wait and restart it."""
        name = f"workers-{record.fault.target}"
        process = self._launcher.group.get(name)
        failure = await self._archive.freeze_and_save(process.spec.workers)
        if not self._violations.record_check(failure is None, str(failure)):
            return
        process.kill()
        for worker in process.spec.workers:
            self._check.record_restart(worker, monotonic())
        await asyncio.sleep(record.fault.duration_s)
        started = await self._launcher.restart(name)
        self._violations.record_check(
            isinstance(started, Ok), f"{name} did not restart: {started}"
        )
