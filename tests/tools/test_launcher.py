"""Tests of failed launches."""

from __future__ import annotations

import asyncio
from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase

from tools.deployment import load_deployment
from tools.launcher import Launcher
from tools.managed_process import REPOSITORY_ROOT


class LauncherTest(TestCase):
    """A failed launch leaves no process running."""

    def test_late_process_is_named_and_all_are_stopped(self) -> None:
        """Guards against processes that outlive a failed launch."""
        path = REPOSITORY_ROOT / "examples" / "papadakis" / "deployment.yaml"
        deployment = load_deployment(path).unwrap()
        with TemporaryDirectory() as directory:
            launcher = Launcher(
                deployment, Path(directory), ready_timeout_s=0.0
            )
            failure = asyncio.run(launcher.start()).unwrap_err()
        self.assertEqual("platform", failure.process)
        processes = launcher.group.processes
        self.assertEqual([False], [process.running for process in processes])
