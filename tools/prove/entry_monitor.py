"""Polls the state of every entry."""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import TYPE_CHECKING

from result import Ok

from tools.prove.entry_snapshot import EntrySnapshot

if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Any

    from tools.entry_rotation import EntryRotation
    from tools.http_caller import HttpCaller
    from tools.launcher import Launcher
    from tools.managed_process import ManagedProcess
    from tools.prove.entry_snapshot_check import EntrySnapshotCheck
    from tools.prove.fault_log import FaultLog
    from tools.prove.process_check import ProcessCheck

_POLL_INTERVAL_S = 0.5
_CALL_TIMEOUT_S = 1.5
_FAILED_POLLS_UNTIL_DOWN = 2


class EntryMonitor:
    """Feeds the checks and keeps the rotation to entries that serve."""

    def __init__(
        self,
        launcher: Launcher,
        caller: HttpCaller,
        rotation: EntryRotation,
        faults: FaultLog,
        process_check: ProcessCheck,
        checks: Sequence[EntrySnapshotCheck],
    ) -> None:
        """Create a monitor.

        :param launcher: owns the entries
        :param caller: sends the calls
        :param rotation: entries that callers use
        :param faults: faults injected in the run
        :param process_check: records entries that end unexpectedly
        :param checks: receive each snapshot
        """
        self._launcher = launcher
        self._caller = caller
        self._rotation = rotation
        self._faults = faults
        self._process_check = process_check
        self._checks = checks
        token = launcher.token("operators")
        self._headers = {"Authorization": f"Bearer {token}"}
        self._snapshot_count = 0
        self._ended_pids: set[int] = set()

    @property
    def snapshot_count(self) -> int:
        """Return the number of snapshots."""
        return self._snapshot_count

    async def run(self) -> None:
        """Poll all entries, one task for each, until cancelled."""
        async with asyncio.TaskGroup() as group:
            for process in self._launcher.entries:
                group.create_task(self._monitor(process.spec.name))

    async def _monitor(self, name: str) -> None:
        failures = 0
        while True:
            process = self._launcher.group.get(name)
            self._check_for_unexpected_exit(process)
            snapshot = await self._read_snapshot(process)
            if snapshot is not None and snapshot.phase == "serving":
                failures = 0
                self._rotation.mark_up(process.spec.url or "")
            else:
                failures += 1
            if failures >= _FAILED_POLLS_UNTIL_DOWN:
                self._rotation.mark_down(process.spec.url or "")
            if snapshot is not None:
                self._snapshot_count += 1
                for check in self._checks:
                    check.observe(snapshot)
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _check_for_unexpected_exit(self, process: ManagedProcess) -> None:
        name, pid = process.spec.name, process.pid
        if process.running or pid in self._ended_pids:
            return
        self._ended_pids.add(pid)
        if not self._faults.is_affected(name):
            self._process_check.record_unexpected_exit(name, process.exit_code)

    async def _read_snapshot(
        self, process: ManagedProcess
    ) -> EntrySnapshot | None:
        if not process.running:
            return None
        requested_at = monotonic()
        status = await self._get(f"{process.spec.url}/v1/status")
        documents = await self._get(f"{process.spec.url}/v1/documents")
        if status is None or documents is None or not process.running:
            return None
        return EntrySnapshot(
            process.spec.name,
            process.pid,
            requested_at,
            status["phase"],
            frozenset(worker["name"] for worker in status["workers"]),
            {
                document["service"]: (document["version"], document["text"])
                for document in documents["documents"]
            },
        )

    async def _get(self, url: str) -> Any:
        result = await self._caller.get(url, self._headers, _CALL_TIMEOUT_S)
        if isinstance(result, Ok) and result.ok_value.status == 200:
            return result.ok_value.json()
        return None
