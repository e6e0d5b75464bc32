"""Runs a deployment as separate processes on loopback."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from time import monotonic
from typing import TYPE_CHECKING

from aiosonic import HTTPClient
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts
from result import Err
from result import Ok

from tools.direct_port_map import DirectPortMap
from tools.launch_failure import LaunchFailure
from tools.port_allocator import LOOPBACK_HOST
from tools.port_allocator import PortAllocator
from tools.process_group import ProcessGroup
from tools.settings_writer import SettingsWriter

if TYPE_CHECKING:
    from pathlib import Path
    from typing import Any

    from result import Result

    from tools.deployment import Deployment
    from tools.managed_process import ManagedProcess
    from tools.port_map import PortMap
    from tools.process_spec import ProcessSpec

_READY_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.1
_PROBE_TIMEOUT_S = 1.0
# A process needs time to exit after its drain.
_EXIT_MARGIN_S = 3.0


class Launcher:
    """Starts a deployment, waits until it is ready and stops it."""

    def __init__(
        self,
        deployment: Deployment,
        directory: Path,
        entries: int | None = None,
        ready_timeout_s: float = _READY_TIMEOUT_S,
        port_map: PortMap | None = None,
    ) -> None:
        """Create a launcher; nothing is started yet.

        :param deployment: deployment to start
        :param directory: directory for settings, tokens and output
        :param entries: number of entry processes, None for all
        :param ready_timeout_s: time within which each stage must be ready
        :param port_map: ports at which the processes connect to each other,
            None for direct connections
        """
        self._deployment = deployment
        self._directory = directory
        self._entry_count = (
            deployment.entry_count if entries is None else entries
        )
        self._ready_timeout_s = ready_timeout_s
        self._ports = PortAllocator()
        self._port_map = DirectPortMap() if port_map is None else port_map
        self._writer = SettingsWriter(
            deployment, directory, self._ports, self._port_map
        )
        self._group = ProcessGroup(directory)

    @property
    def group(self) -> ProcessGroup:
        """Return the processes of the deployment."""
        return self._group

    @property
    def entries(self) -> tuple[ManagedProcess, ...]:
        """Return the entry processes."""
        return tuple(
            process
            for process in self._group.processes
            if process.spec.role == "entry"
        )

    @property
    def worker_urls(self) -> dict[str, str]:
        """Return the base URL of each worker."""
        return {
            name: url
            for process in self._group.processes
            for name, url in process.spec.workers.items()
        }

    def token(self, name: str) -> str:
        """Return a token by its name in the deployment file."""
        return self.token_file(name).read_text().strip()

    def token_file(self, name: str) -> Path:
        """Return the file that holds one token."""
        return self._writer.token_file(name)

    def describe(self) -> dict[str, Any]:
        """Return a JSON object that describes the running deployment."""
        return {
            "ready": True,
            "directory": str(self._directory),
            "tokens_file": str(self._writer.tokens_file),
            "processes": [
                self._describe(process) for process in self._group.processes
            ],
        }

    async def start(self) -> Result[None, LaunchFailure]:
        """Start all processes and wait until they are ready.

        On a failure or a cancellation, all started processes are stopped
        before this returns.
        """
        ready = False
        try:
            stages = self._stages()
            await self._port_map.open()
            for stage in stages:
                failure = await self._start_stage(stage)
                if failure is not None:
                    return Err(failure)
            ready = True
            return Ok(None)
        finally:
            if not ready:
                await self.stop()

    async def stop(self) -> tuple[str, ...]:
        """Stop all processes, entries first.

        Entries need the stand-ins until they have handed over their workers.

        :returns: names of the processes that needed SIGKILL
        """
        timeout_s = self._deployment.drain_limit_s + _EXIT_MARGIN_S
        killed: tuple[str, ...] = ()
        try:
            killed = await self._group.stop(timeout_s, "entry")
        finally:
            killed += await self._group.stop(_EXIT_MARGIN_S)
            await self._port_map.close()
            self._ports.close()
        return killed

    async def restart(self, name: str) -> Result[None, LaunchFailure]:
        """Restart an ended process and wait until it is ready."""
        process = self._group.start(self._group.get(name).spec)
        failure = await self._await_ready(process)
        return Ok(None) if failure is None else Err(failure)

    def _stages(self) -> list[list[ProcessSpec]]:
        self._writer.write_tokens()
        names = self._deployment.entry_names(self._entry_count)
        return [
            [self._writer.write_platform()],
            [
                self._writer.write_workers(zone)
                for zone in self._deployment.availability_zones
            ],
            [
                self._writer.write_entry(name, zone, entries)
                for zone, entries in names.items()
                for name in entries
            ],
        ]

    async def _start_stage(
        self, stage: list[ProcessSpec]
    ) -> LaunchFailure | None:
        processes = []
        for spec in stage:
            self._ports.hand_over(spec.ports)
            processes.append(self._group.start(spec))
        failures = await asyncio.gather(
            *(self._await_ready(process) for process in processes)
        )
        return next((failure for failure in failures if failure), None)

    async def _await_ready(
        self, process: ManagedProcess
    ) -> LaunchFailure | None:
        until = monotonic() + self._ready_timeout_s
        while process.running:
            if await self._is_ready(process.spec):
                return None
            if monotonic() > until:
                detail = f"was not ready within {self._ready_timeout_s:.0f} s"
                return self._create_failure(process, detail)
            await asyncio.sleep(_POLL_INTERVAL_S)
        return self._create_failure(
            process,
            f"ended with exit code {process.exit_code} before it was ready",
        )

    async def _is_ready(self, spec: ProcessSpec) -> bool:
        if spec.role == "entry":
            return await self._responds_ok(f"{spec.url}/readyz")
        return all(
            [await self._accepts_connections(port) for port in spec.ports]
        )

    @staticmethod
    def _create_failure(process: ManagedProcess, detail: str) -> LaunchFailure:
        return LaunchFailure(process.spec.name, detail, process.stderr_tail())

    @staticmethod
    def _describe(process: ManagedProcess) -> dict[str, Any]:
        spec = process.spec
        fields = {
            "role": spec.role,
            "name": spec.name,
            "zone": spec.zone,
            "pid": process.pid,
            "url": spec.url,
        }
        return {**fields, "workers": spec.workers} if spec.workers else fields

    @staticmethod
    async def _responds_ok(url: str) -> bool:
        timeouts = Timeouts(request_timeout=_PROBE_TIMEOUT_S)
        async with HTTPClient() as client:
            try:
                response = await client.get(url, timeouts=timeouts)
            except (OSError, AiosonicError, TimeoutError):
                return False
            return bool(response.status_code == 200)

    @staticmethod
    async def _accepts_connections(port: int) -> bool:
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(LOOPBACK_HOST, port)
        except (OSError, TimeoutError):
            return False
        writer.close()
        with suppress(OSError):
            await writer.wait_closed()
        return True
