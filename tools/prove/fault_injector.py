"""Makes the faults of a schedule happen."""

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
    """Runs one task for each fault."""

    def __init__(
        self, actions: Mapping[FaultKind, FaultAction], log: FaultLog
    ) -> None:
        """Create an injector.

        :param actions: what makes each kind of fault happen
        :param log: takes start and end of each fault
        """
        self._actions = actions
        self._log = log

    async def run(self, faults: Sequence[Fault]) -> None:
        """Return when all faults are over."""
        start = monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(self._run_one(fault, start))

    async def _run_one(self, fault: Fault, start: float) -> None:
        await asyncio.sleep(start + fault.start_s - monotonic())
        record = self._log.begin(fault, monotonic())
        try:
            await self._actions[fault.kind].run(record)
        finally:
            record.ended_at = monotonic()
