"""Fault action that pauses an entry."""

from __future__ import annotations

import asyncio
from signal import SIGCONT
from signal import SIGSTOP
from typing import TYPE_CHECKING

from tools.prove.fault_action import FaultAction

if TYPE_CHECKING:
    from tools.launcher import Launcher
    from tools.prove.fault_record import FaultRecord


class EntryPause(FaultAction):
    """Sends SIGSTOP to an entry, and SIGCONT after the duration."""

    def __init__(self, launcher: Launcher) -> None:
        """Create the action.

        :param launcher: owns the entry
        """
        self._launcher = launcher

    async def run(self, record: FaultRecord) -> None:
        """Pause the entry and resume it after the duration."""
        process = self._launcher.group.get(record.fault.target)
        process.send_signal(SIGSTOP)
        try:
            await asyncio.sleep(record.fault.duration_s)
        finally:
            process.send_signal(SIGCONT)
