"""Fault action that stops an entry gracefully and restarts it."""

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

# The drain limit of 5 s, 5 s of grace for replies and platform calls that
# run into their timeout of 2 s.
_STOP_TIMEOUT_S = 16.0


class EntryStop(FaultAction):
    """Ends an entry under load with SIGTERM and restarts it."""

    def __init__(
        self,
        launcher: Launcher,
        check: PlannedStopCheck,
        violations: ViolationLog,
    ) -> None:
        """Create the action.

        :param launcher: owns the entry
        :param check: records the stop
        :param violations: records whether the restart succeeded
        """
        self._launcher = launcher
        self._check = check
        self._violations = violations

    async def run(self, record: FaultRecord) -> None:
        """Stop the entry, wait for the duration and restart it."""
        name = record.fault.target
        process = self._launcher.group.get(name)
        sigterm_at = monotonic()
        process.send_signal(SIGTERM)
        exit_code = await process.wait(_STOP_TIMEOUT_S)
        stop = PlannedStop(
            name,
            process.spec.url or "",
            sigterm_at,
            monotonic(),
            exit_code,
        )
        self._check.record_stop(stop, record)
        if exit_code is None:
            process.kill()
        await asyncio.sleep(record.fault.duration_s)
        await restart_entry(self._launcher, name, self._violations)
