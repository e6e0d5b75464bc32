"""Injects the faults of a schedule."""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from tools.prove.fault import Fault
    from tools.prove.fault_action import FaultAction
    from tools.prove.fault_kind import FaultKind
    from tools.prove.fault_log import FaultLog


class FaultInjector:
    """Runs the action of each fault at its time, one task for each."""

    def __init__(
        self, actions: Mapping[FaultKind, FaultAction], fault_log: FaultLog
    ) -> None:
        """Create an injector.

        :param actions: action that injects each kind of fault
        :param fault_log: records the start of each fault
        """
        self._actions = actions
        self._fault_log = fault_log

    async def run(self, faults: Sequence[Fault]) -> None:
        """Inject all faults; return when they are over."""
        start = monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(self._run_one(fault, start))

    async def _run_one(self, fault: Fault, start: float) -> None:
        await asyncio.sleep(start + fault.start_s - monotonic())
        record = self._fault_log.record_start(fault, monotonic())
        try:
            await self._actions[fault.kind].run(record)
        finally:
            record.ended_at = monotonic()
