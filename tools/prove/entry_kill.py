"""Kills an entry and starts it again."""

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
    launcher: Launcher, name: str, log: ViolationLog
) -> None:
    """Start an entry again; it must not end while it starts.

    :param launcher: owns the entry
    :param name: name of the entry
    :param log: takes the result
    """
    started = await launcher.restart(name)
    log.check(
        not isinstance(started, Err) or launcher.group.get(name).running,
        f"{name} did not start again: {started}",
    )


class EntryKill(FaultAction):
    """SIGKILL of an entry and its restart under the same name."""

    def __init__(
        self, launcher: Launcher, check: TakeoverCheck, log: ViolationLog
    ) -> None:
        """Create the action.

        :param launcher: owns the entry
        :param check: takes the death of the process
        :param log: takes a failed restart
        """
        self._launcher = launcher
        self._check = check
        self._log = log

    async def run(self, record: FaultRecord) -> None:
        """Kill, wait and start again."""
        name = record.fault.target
        process = self._launcher.group.get(name)
        process.kill()
        self._check.killed(process.pid, record)
        await asyncio.sleep(record.fault.length_s)
        await restart_entry(self._launcher, name, self._log)
