"""Fault action that announces that a worker leaves."""

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

_CALL_TIMEOUT_S = 5.0


class WorkerLeave(FaultAction):
    """Marks a worker as leaving in its own report or in the VM list."""

    def __init__(
        self, launcher: Launcher, caller: HttpCaller, check: LeavingWorkerCheck
    ) -> None:
        """Create the action.

        :param launcher: owns the stand-ins
        :param caller: sends the calls
        :param check: records the leaving worker
        """
        self._launcher = launcher
        self._caller = caller
        self._check = check

    async def run(self, record: FaultRecord) -> None:
        """Announce the leave, which holds for the rest of the run."""
        worker = record.fault.target
        if record.fault.kind is FaultKind.VM_LEAVES:
            platform = self._launcher.group.get(PLATFORM).spec.url
            accepted = await self._post(
                f"{platform}/vms/{worker}", {"state": "leaving"}
            )
            if accepted:
                self._check.record_vm_list_notice(worker, monotonic())
        else:
            url = self._launcher.worker_urls[worker]
            if await self._post(f"{url}/v1/leave", {}):
                self._check.record_worker_notice(worker, monotonic())
        await asyncio.sleep(record.fault.duration_s)

    async def _post(self, url: str, body: dict[str, str]) -> bool:
        result = await self._caller.post(
            url, {}, json.dumps(body).encode(), _CALL_TIMEOUT_S
        )
        return isinstance(result, Ok) and result.ok_value.status == 200
