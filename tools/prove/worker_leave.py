"""Makes a worker leave the fleet."""

from __future__ import annotations

import asyncio
import json
from time import monotonic
from typing import TYPE_CHECKING

from result import Ok

from tools.prove.fault_action import FaultAction
from tools.prove.fault_kind import FaultKind
from tools.prove.topology import PLATFORM

if TYPE_CHECKING:
    from tools.http_caller import HttpCaller
    from tools.launcher import Launcher
    from tools.prove.fault_record import FaultRecord
    from tools.prove.leaving_worker_check import LeavingWorkerCheck

_CALL_LIMIT_S = 5.0


class WorkerLeave(FaultAction):
    """The worker itself or the platform's VM list says that it leaves."""

    def __init__(
        self, launcher: Launcher, caller: HttpCaller, check: LeavingWorkerCheck
    ) -> None:
        """Create the action.

        :param launcher: owns the stand-ins
        :param caller: sends the calls
        :param check: takes the departure
        """
        self._launcher = launcher
        self._caller = caller
        self._check = check

    async def run(self, record: FaultRecord) -> None:
        """Make the worker leave for the rest of the run."""
        worker = record.fault.target
        if record.fault.kind is FaultKind.LEAVE_VM:
            platform = self._launcher.group.get(PLATFORM).spec.url
            said = await self._post(
                f"{platform}/vms/{worker}", {"state": "leaving"}
            )
            if said:
                self._check.list_said(worker, monotonic())
        else:
            url = self._launcher.worker_urls[worker]
            if await self._post(f"{url}/v1/leave", {}):
                self._check.worker_said(worker, monotonic())
        await asyncio.sleep(record.fault.length_s)

    async def _post(self, url: str, body: dict[str, str]) -> bool:
        sent = await self._caller.post(
            url, {}, json.dumps(body).encode(), _CALL_LIMIT_S
        )
        return isinstance(sent, Ok) and sent.ok_value.status == 200
