"""Processes that end together."""

from __future__ import annotations

import asyncio
from signal import SIGTERM
from typing import TYPE_CHECKING

from tools.managed_process import ManagedProcess

if TYPE_CHECKING:
    from pathlib import Path

    from tools.process_spec import ProcessSpec


class ProcessGroup:
    """Starts processes and stops every one of them, by its process id."""

    def __init__(self, directory: Path) -> None:
        """Create an empty group.

        :param directory: where the output of the processes goes
        """
        self._directory = directory
        self._processes: dict[str, ManagedProcess] = {}

    @property
    def processes(self) -> tuple[ManagedProcess, ...]:
        """Return all processes in the order of their start."""
        return tuple(self._processes.values())

    def get(self, name: str) -> ManagedProcess:
        """Return a process by its name."""
        return self._processes[name]

    def start(self, spec: ProcessSpec) -> ManagedProcess:
        """Start a process.

        A process of the same name must have ended; the new one takes its
        place.
        """
        present = self._processes.get(spec.name)
        if present is not None and present.running:
            raise ValueError(f"process {spec.name!r} runs already")
        process = ManagedProcess(
            spec, self._directory, restarted=present is not None
        )
        self._processes[spec.name] = process
        return process

    def kill(self, name: str) -> None:
        """End a process with SIGKILL."""
        self._processes[name].kill()

    async def stop(
        self, limit_s: float, role: str | None = None
    ) -> tuple[str, ...]:
        """Stop processes with SIGTERM, and with SIGKILL after a limit.

        All of them have ended and are reaped when this returns or raises.

        :param limit_s: how long they may take after SIGTERM
        :param role: stop only processes of this role
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
                *(process.wait(limit_s) for process in stopping)
            )
        finally:
            for process in stopping:
                if process.running:
                    process.kill()
                    killed.append(process.spec.name)
        return tuple(killed)
