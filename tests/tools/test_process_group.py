"""Tests of starting and stopping processes."""

from __future__ import annotations

import asyncio
from pathlib import Path
from signal import SIGKILL
from signal import SIGTERM
import sys
from tempfile import TemporaryDirectory
from time import monotonic
from time import sleep

import psutil
from testtools import ExpectedException
from testtools import TestCase

from tools.process_group import ProcessGroup
from tools.process_spec import ProcessSpec

_ENDS_ON_SIGTERM = "import time; print('up'); time.sleep(60)"
_IGNORES_SIGTERM = (
    "import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN);"
    " print('up'); time.sleep(60)"
)
_EXITS_WITH_ERROR = "import sys; sys.exit('no port is left')"


class ProcessGroupTest(TestCase):
    """All started processes are ended and reaped."""

    def setUp(self) -> None:
        """Create an empty group."""
        super().setUp()
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.group = ProcessGroup(self.directory)
        self.addCleanup(self._kill_all)

    def test_stop_ends_all_and_kills_one_that_ignores_sigterm(self) -> None:
        """Guards against processes and zombies that outlive the tool."""
        for name, code in (
            ("a", _ENDS_ON_SIGTERM),
            ("stubborn", _IGNORES_SIGTERM),
            ("b", _ENDS_ON_SIGTERM),
        ):
            self._start(name, code)
        killed = asyncio.run(self.group.stop(0.5))
        self.assertEqual(("stubborn",), killed)
        codes = {p.spec.name: p.exit_code for p in self.group.processes}
        self.assertEqual(
            {"a": -SIGTERM, "stubborn": -SIGKILL, "b": -SIGTERM}, codes
        )
        for process in self.group.processes:
            self.assertFalse(psutil.pid_exists(process.pid))

    def test_stop_returns_once_all_have_ended(self) -> None:
        """Guards against a stop that always takes the whole timeout."""
        self._start("a", _ENDS_ON_SIGTERM)
        start = monotonic()
        asyncio.run(self.group.stop(30.0))
        self.assertLess(monotonic() - start, 10.0)

    def test_cancelled_stop_still_ends_all(self) -> None:
        """Guards against processes that survive a second interrupt."""
        self._start("stubborn", _IGNORES_SIGTERM)

        async def interrupt() -> None:
            async with asyncio.timeout(0.2):
                await self.group.stop(30.0)

        with ExpectedException(TimeoutError):
            asyncio.run(interrupt())
        self.assertEqual(-SIGKILL, self.group.get("stubborn").exit_code)

    def test_stop_of_a_role_leaves_the_others(self) -> None:
        """Guards against stopping the stand-ins before the entries."""
        self._start("a", _ENDS_ON_SIGTERM)
        self._start("b", _ENDS_ON_SIGTERM, role="other")
        asyncio.run(self.group.stop(5.0, "other"))
        self.assertTrue(self.group.get("a").running)
        self.assertFalse(self.group.get("b").running)

    def test_two_running_processes_of_one_name_are_refused(self) -> None:
        """Guards against a process that the group no longer tracks."""
        self._start("a", _ENDS_ON_SIGTERM)
        with ExpectedException(ValueError, ".*is already running"):
            self._start("a", _ENDS_ON_SIGTERM)

    def test_stderr_tail_shows_why_a_process_ended(self) -> None:
        """Guards against a launch failure without its cause."""
        spec = self._spec("a", _EXITS_WITH_ERROR)
        process = self.group.start(spec)
        self.assertEqual(1, asyncio.run(process.wait(20.0)))
        self.assertEqual("no port is left", process.stderr_tail())

    def _start(self, name: str, code: str, role: str = "test") -> None:
        self.group.start(self._spec(name, code, role))
        until = monotonic() + 20.0
        while not (self.directory / f"{name}.stdout").read_bytes():
            self.assertLess(monotonic(), until, f"{name} does not start")
            sleep(0.02)

    def _kill_all(self) -> None:
        for process in self.group.processes:
            process.kill()

    @staticmethod
    def _spec(name: str, code: str, role: str = "test") -> ProcessSpec:
        return ProcessSpec(role, name, (sys.executable, "-c", code))
