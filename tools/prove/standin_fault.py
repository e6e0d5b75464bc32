"""Fault action that enables faults in the stand-ins."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from tools.prove.fault_action import FaultAction
from tools.prove.fault_kind import FaultKind
from tools.prove.topology import PLATFORM

if TYPE_CHECKING:
    from typing import Any

    from tools.http_caller import HttpCaller
    from tools.launcher import Launcher
    from tools.prove.fault import Fault
    from tools.prove.fault_record import FaultRecord

_CALL_TIMEOUT_S = 5.0


class StandinFault(FaultAction):
    """Makes a stand-in refuse, delay, lag, freeze or lose answers."""

    def __init__(self, launcher: Launcher, caller: HttpCaller) -> None:
        """Create the action.

        :param launcher: owns the stand-ins
        :param caller: sends the calls
        """
        self._launcher = launcher
        self._caller = caller

    async def run(self, record: FaultRecord) -> None:
        """Enable the fault, wait, then disable all faults of the target."""
        url = self._url(record.fault.target)
        await self._post(url, self._body(record.fault))
        try:
            await asyncio.sleep(record.fault.duration_s)
        finally:
            await self._post(url, {})

    def _url(self, target: str) -> str:
        if target == PLATFORM:
            return self._launcher.group.get(PLATFORM).spec.url or ""
        return self._launcher.worker_urls[target]

    async def _post(self, url: str, body: dict[str, Any]) -> None:
        await self._caller.post(
            f"{url}/faults", {}, json.dumps(body).encode(), _CALL_TIMEOUT_S
        )

    @staticmethod
    def _body(fault: Fault) -> dict[str, Any]:
        if fault.kind in (FaultKind.PLATFORM_REFUSE, FaultKind.WORKER_REFUSE):
            return {"refuse": True}
        if fault.kind in (FaultKind.PLATFORM_DELAY, FaultKind.WORKER_DELAY):
            return {"delay_s": fault.magnitude}
        if fault.kind in (
            FaultKind.PLATFORM_LOSE_ANSWERS,
            FaultKind.WORKER_LOSE_ANSWERS,
        ):
            return {"lose_answers": int(fault.magnitude)}
        if fault.kind is FaultKind.WORKER_LAG:
            return {"lag_s": fault.magnitude}
        return {"freeze_s": fault.duration_s}
