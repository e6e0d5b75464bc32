"""Stops an entry as planned and starts it again."""

from __future__ import annotations

import asyncio
from signal import SIGTERM
from time import monotonic
from typing import TYPE_CHECKING

from tools.prove.entry_kill import restart_entry
from tools.prove.fault_action import FaultAction
from tools.prove.planned_stop import PlannedStop

if TYPE_CHECKING:
    from tools.launcher import Launcher
    from tools.prove.fault_record import FaultRecord
    from tools.prove.planned_stop_check import PlannedStopCheck
    from tools.prove.violation_log import ViolationLog

# The drain limit of 5 s, the grace of 5 s for replies and calls to the
# platform that run into their limit of 2 s.
_STOP_LIMIT_S = 16.0


class EntryStop(FaultAction):
    """SIGTERM of an entry under load and its restart."""

    def __init__(
        self, launcher: Launcher, check: PlannedStopCheck, log: ViolationLog
    ) -> None:
        """Create the action.

        :param launcher: owns the entry
        :param check: takes the stop
        :param log: takes a failed restart
        """
        self._launcher = launcher
        self._check = check
        self._log = log

    async def run(self, record: FaultRecord) -> None:
        """Stop, wait and start again."""
        name = record.fault.target
        process = self._launcher.group.get(name)
        begun_at = monotonic()
        process.send_signal(SIGTERM)
        exit_code = await process.wait(_STOP_LIMIT_S)
        stop = PlannedStop(
            name,
            process.spec.url or "",
            begun_at,
            monotonic(),
            exit_code,
        )
        self._check.stopped(stop, record)
        if exit_code is None:
            process.kill()
        await asyncio.sleep(record.fault.length_s)
        await restart_entry(self._launcher, name, self._log)
