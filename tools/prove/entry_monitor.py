"""The tasks that ask every entry for its state."""

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

_INTERVAL_S = 0.5
_CALL_LIMIT_S = 1.5
_FAILURES_UNTIL_DOWN = 2


class EntryMonitor:
    """Feeds the checks and tells the rotation which entries are up."""

    def __init__(
        self,
        launcher: Launcher,
        caller: HttpCaller,
        rotation: EntryRotation,
        faults: FaultLog,
        process_check: ProcessCheck,
        checks: Sequence[EntrySnapshotCheck],
    ) -> None:
        """Create a watch.

        :param launcher: owns the entries
        :param caller: sends the calls
        :param rotation: entries that callers use
        :param faults: faults of the run
        :param process_check: takes entries that end by themselves
        :param checks: fed with each sighting
        """
        self._launcher = launcher
        self._caller = caller
        self._rotation = rotation
        self._faults = faults
        self._process_check = process_check
        self._checks = checks
        token = launcher.token("operators")
        self._headers = {"Authorization": f"Bearer {token}"}
        self._sightings = 0
        self._ended: set[int] = set()

    @property
    def sightings(self) -> int:
        """Return the number of sightings."""
        return self._sightings

    async def run(self) -> None:
        """Watch all entries, one task for each, until cancelled."""
        async with asyncio.TaskGroup() as group:
            for process in self._launcher.entries:
                group.create_task(self._watch(process.spec.name))

    async def _watch(self, name: str) -> None:
        failures = 0
        while True:
            process = self._launcher.group.get(name)
            self._look_for_end(process)
            sighting = await self._look(process)
            if sighting is not None and sighting.phase == "serving":
                failures = 0
                self._rotation.mark_up(process.spec.url or "")
            else:
                failures += 1
            if failures >= _FAILURES_UNTIL_DOWN:
                self._rotation.mark_down(process.spec.url or "")
            if sighting is not None:
                self._sightings += 1
                for check in self._checks:
                    check.observe(sighting)
            await asyncio.sleep(_INTERVAL_S)

    def _look_for_end(self, process: ManagedProcess) -> None:
        name, pid = process.spec.name, process.pid
        if process.running or pid in self._ended:
            return
        self._ended.add(pid)
        if not self._faults.active(name):
            self._process_check.ended(name, process.exit_code)

    async def _look(self, process: ManagedProcess) -> EntrySnapshot | None:
        if not process.running:
            return None
        asked_at = monotonic()
        status = await self._get(f"{process.spec.url}/v1/status")
        documents = await self._get(f"{process.spec.url}/v1/documents")
        if status is None or documents is None or not process.running:
            return None
        return EntrySnapshot(
            process.spec.name,
            process.pid,
            asked_at,
            status["phase"],
            frozenset(worker["name"] for worker in status["workers"]),
            {
                one["service"]: (one["version"], one["text"])
                for one in documents["documents"]
            },
        )

    async def _get(self, url: str) -> Any:
        sent = await self._caller.get(url, self._headers, _CALL_LIMIT_S)
        if isinstance(sent, Ok) and sent.ok_value.status == 200:
            return sent.ok_value.json()
        return None
