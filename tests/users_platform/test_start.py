"""Tests of the start of the process."""

from __future__ import annotations

import asyncio
from pathlib import Path
from signal import SIGHUP
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING

import psutil
from testtools import TestCase

from tests.users_platform.process_deployment import ProcessDeployment

if TYPE_CHECKING:
    from tests.users_platform.process_deployment import SystemProcess

_SIGNAL_LIMIT_S = 10.0
_POLL_INTERVAL_S = 0.001
_SIGHUP_BIT = 1 << (SIGHUP - 1)
_IGNORED = "SigIgn:"


class StartTest(TestCase):
    """Signals while the process starts."""

    def test_signal_before_the_imports_does_not_end_the_process(self) -> None:
        """Guards against a change of settings that ends a starting process."""
        with TemporaryDirectory() as directory:
            asyncio.run(self._run(Path(directory)))

    async def _run(self, directory: Path) -> None:
        deployment = ProcessDeployment(directory, 1, {})
        starting = asyncio.create_task(deployment.start(1000))
        try:
            async with asyncio.timeout(_SIGNAL_LIMIT_S):
                process = await _first_ignoring_process(deployment)
            observed = psutil.Process(process.pid)
            maps = [entry.path for entry in observed.memory_maps()]
            self.assertEqual([], [path for path in maps if "zmq" in path])
            observed.send_signal(SIGHUP)
            await starting
            self.assertTrue(process.running)
        finally:
            starting.cancel()
            await asyncio.gather(starting, return_exceptions=True)
            await deployment.stop()


async def _first_ignoring_process(
    deployment: ProcessDeployment,
) -> SystemProcess:
    """Wait until a process ignores SIGHUP."""
    while True:
        for process in deployment.processes:
            if _ignores_sighup(process.pid):
                return process
        await asyncio.sleep(_POLL_INTERVAL_S)


def _ignores_sighup(pid: int) -> bool:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    masks = [line.split()[1] for line in lines if line.startswith(_IGNORED)]
    return any(int(mask, 16) & _SIGHUP_BIT for mask in masks)
