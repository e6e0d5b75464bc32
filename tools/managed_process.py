"""Child process of a tool."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from signal import SIGKILL
from subprocess import DEVNULL
from subprocess import Popen
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tools.process_spec import ProcessSpec

REPOSITORY_ROOT = Path(__file__).resolve().parent.parent
_STDERR_TAIL_BYTES = 4096


class ManagedProcess:
    """A child process whose output goes to files."""

    def __init__(
        self, spec: ProcessSpec, directory: Path, *, restarted: bool = False
    ) -> None:
        """Start the process.

        It runs in a session of its own, so that an interrupt at the terminal
        reaches only the tool, which then stops its processes in order.

        :param spec: process to start
        :param directory: directory for its output files
        :param restarted: append to the output files of an earlier process
        """
        self._spec = spec
        self._output_path = directory / f"{spec.name}.stdout"
        self._error_path = directory / f"{spec.name}.stderr"
        environment = dict(os.environ, PYTHONUNBUFFERED="1")
        environment["PYTHONPATH"] = (
            f"{REPOSITORY_ROOT / 'src'}{os.pathsep}{REPOSITORY_ROOT}"
        )
        mode = "ab" if restarted else "wb"
        with (
            self._output_path.open(mode) as output,
            self._error_path.open(mode) as errors,
        ):
            self._process = Popen(  # noqa: S603
                spec.command,
                stdin=DEVNULL,
                stdout=output,
                stderr=errors,
                cwd=REPOSITORY_ROOT,
                env=environment,
                start_new_session=True,
            )

    @property
    def spec(self) -> ProcessSpec:
        """Return the specification of the process."""
        return self._spec

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Tell whether the process runs, and reap it when it has ended."""
        return self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, negative for a signal, None while it runs."""
        return self._process.poll()

    def send_signal(self, signal_number: int) -> None:
        """Send a signal unless the process has ended."""
        self._process.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process with SIGKILL and reap it."""
        self._process.send_signal(SIGKILL)
        self._process.wait()

    async def wait(self, timeout_s: float) -> int | None:
        """Wait for the end of the process.

        :param timeout_s: longest time to wait
        :returns: exit code, None when the process still runs
        """
        if not self.running:
            return self.exit_code
        ended = asyncio.Event()
        descriptor = os.pidfd_open(self.pid)
        loop = asyncio.get_running_loop()
        loop.add_reader(descriptor, ended.set)
        try:
            async with asyncio.timeout(timeout_s):
                await ended.wait()
        except TimeoutError:
            pass
        finally:
            loop.remove_reader(descriptor)
            os.close(descriptor)
        return self.exit_code

    def stderr_text(self) -> str:
        """Return the standard error, with that of earlier processes."""
        return self._error_path.read_bytes().decode(errors="replace")

    def stderr_tail(self, count: int = 8) -> str:
        """Return the last lines of the standard error.

        :param count: greatest number of lines
        """
        content = self._error_path.read_bytes()[-_STDERR_TAIL_BYTES:]
        lines = content.decode(errors="replace").splitlines()
        return "\n".join(lines[-count:])
