"""Kills a stand-in worker process and starts it again."""

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
    """All workers of a process lose their fence, their work and ledgers."""

    def __init__(
        self,
        launcher: Launcher,
        archive: LedgerArchive,
        check: LeavingWorkerCheck,
        log: ViolationLog,
    ) -> None:
        """Create the action.

        :param launcher: owns the stand-in
        :param archive: keeps the ledgers
        :param check: takes the restart
        :param log: takes a failed restart
        """
        self._launcher = launcher
        self._archive = archive
        self._check = check
        self._log = log

    async def run(self, record: FaultRecord) -> None:
        """Save the ledgers, kill, wait and start again."""
        name = f"workers-{record.fault.target}"
        process = self._launcher.group.get(name)
        failure = await self._archive.save(process.spec.workers)
        if not self._log.check(failure is None, str(failure)):
            return
        process.kill()
        for worker in process.spec.workers:
            self._check.restarted(worker, monotonic())
        await asyncio.sleep(record.fault.length_s)
        started = await self._launcher.restart(name)
        self._log.check(
            isinstance(started, Ok), f"{name} did not start again: {started}"
        )
