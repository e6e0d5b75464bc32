"""Pauses an entry."""

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
    """SIGSTOP of an entry and SIGCONT after the length."""

    def __init__(self, launcher: Launcher) -> None:
        """Create the action.

        :param launcher: owns the entry
        """
        self._launcher = launcher

    async def run(self, record: FaultRecord) -> None:
        """Pause and continue."""
        process = self._launcher.group.get(record.fault.target)
        process.send_signal(SIGSTOP)
        try:
            await asyncio.sleep(record.fault.length_s)
        finally:
            process.send_signal(SIGCONT)
