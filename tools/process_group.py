"""Child processes that are stopped together."""

from __future__ import annotations

import asyncio
from signal import SIGTERM
from typing import TYPE_CHECKING

from tools.managed_process import ManagedProcess

if TYPE_CHECKING:
    from pathlib import Path

    from tools.process_spec import ProcessSpec


class ProcessGroup:
    """Starts processes and stops each of them by its process id."""

    def __init__(self, directory: Path) -> None:
        """Create an empty group.

        :param directory: directory for the output of the processes
        """
        self._directory = directory
        self._processes: dict[str, ManagedProcess] = {}

    @property
    def processes(self) -> tuple[ManagedProcess, ...]:
        """Return all processes in the order of their first start."""
        return tuple(self._processes.values())

    def get(self, name: str) -> ManagedProcess:
        """Return a process by its name."""
        return self._processes[name]

    def start(self, spec: ProcessSpec) -> ManagedProcess:
        """Start a process.

        Replaces an ended process of the same name.

        :raises ValueError: a process of the same name is running
        """
        previous = self._processes.get(spec.name)
        if previous is not None and previous.running:
            raise ValueError(f"process {spec.name!r} is already running")
        process = ManagedProcess(
            spec, self._directory, restarted=previous is not None
        )
        self._processes[spec.name] = process
        return process

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        self._processes[name].kill()

    async def stop(
        self, timeout_s: float, role: str | None = None
    ) -> tuple[str, ...]:
        """Stop processes with SIGTERM, and with SIGKILL after a timeout.

        All of them have ended and are reaped when this returns or raises.

        :param timeout_s: time that they have to end after SIGTERM
        :param role: role of the processes to stop, None for all
        :returns: names of the processes that needed SIGKILL
        """
        stopping = [
            process
            for process in self.processes
            if process.running and role in (None, process.spec.role)
        ]
        for process in stopping:
            process.send_signal(SIGTERM)
        killed = []
        try:
            await asyncio.gather(
                *(process.wait(timeout_s) for process in stopping)
            )
        finally:
            for process in stopping:
                if process.running:
                    process.kill()
                    killed.append(process.spec.name)
        return tuple(killed)
