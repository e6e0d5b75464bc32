"""Fault action that kills an entry and restarts it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err

from tools.prove.fault_action import FaultAction

if TYPE_CHECKING:
    from tools.launcher import Launcher
    from tools.prove.fault_record import FaultRecord
    from tools.prove.takeover_check import TakeoverCheck
    from tools.prove.violation_log import ViolationLog


async def restart_entry(
    launcher: Launcher, name: str, violations: ViolationLog
) -> None:
    """Restart an entry and check that it does not end while it starts.

    An entry that still runs but is not ready in time, as in an outage of the
    platform, is no violation.

    :param launcher: owns the entry
    :param name: name of the entry
    :param violations: records whether the restart succeeded
    """
    started = await launcher.restart(name)
    violations.record_check(
        not isinstance(started, Err) or launcher.group.get(name).running,
        f"{name} did not restart: {started}",
    )


class EntryKill(FaultAction):
    """Ends an entry with SIGKILL and restarts it under the same name."""

    def __init__(
        self,
        launcher: Launcher,
        check: TakeoverCheck,
        violations: ViolationLog,
    ) -> None:
        """Create the action.

        :param launcher: owns the entry
        :param check: records the killed process
        :param violations: records whether the restart succeeded
        """
        self._launcher = launcher
        self._check = check
        self._violations = violations

    async def run(self, record: FaultRecord) -> None:
        """Kill the entry, wait for the duration and restart it."""
        name = record.fault.target
        process = self._launcher.group.get(name)
        process.kill()
        self._check.record_kill(process.pid, record)
        await asyncio.sleep(record.fault.duration_s)
        await restart_entry(self._launcher, name, self._violations)
