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

_OBEDIENT = "import time; print('up'); time.sleep(60)"
_STUBBORN = (
    "import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN);"
    " print('up'); time.sleep(60)"
)
_FAILING = "import sys; sys.exit('no port is left')"


class ProcessGroupTest(TestCase):
    """Every started process ends and is reaped."""

    def setUp(self) -> None:
        """Create an empty group."""
        super().setUp()
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.group = ProcessGroup(self.directory)
        self.addCleanup(self._kill_all)

    def test_stop_ends_all_and_kills_one_that_ignores_sigterm(self) -> None:
        """Guards against processes or zombies that a tool leaves behind."""
        for name, code in (
            ("a", _OBEDIENT),
            ("stubborn", _STUBBORN),
            ("b", _OBEDIENT),
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
        """Guards against a stop that always takes its whole limit."""
        self._start("a", _OBEDIENT)
        start = monotonic()
        asyncio.run(self.group.stop(30.0))
        self.assertLess(monotonic() - start, 10.0)

    def test_cancelled_stop_still_ends_all(self) -> None:
        """Guards against survivors after a second interrupt."""
        self._start("stubborn", _STUBBORN)

        async def interrupt() -> None:
            async with asyncio.timeout(0.2):
                await self.group.stop(30.0)

        with ExpectedException(TimeoutError):
            asyncio.run(interrupt())
        self.assertEqual(-SIGKILL, self.group.get("stubborn").exit_code)

    def test_stop_of_a_role_leaves_the_others(self) -> None:
        """Guards against stand-ins that end before the entries."""
        self._start("a", _OBEDIENT)
        self._start("b", _OBEDIENT, role="other")
        asyncio.run(self.group.stop(5.0, "other"))
        self.assertTrue(self.group.get("a").running)
        self.assertFalse(self.group.get("b").running)

    def test_two_running_processes_of_one_name_are_refused(self) -> None:
        """Guards against a process that the group loses track of."""
        self._start("a", _OBEDIENT)
        with ExpectedException(ValueError, ".*is already running"):
            self._start("a", _OBEDIENT)

    def test_last_lines_tell_why_a_process_ended(self) -> None:
        """Guards against a launch failure without its reason."""
        spec = self._spec("a", _FAILING)
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
