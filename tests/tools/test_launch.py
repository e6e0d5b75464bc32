"""Tests of the launch script."""

from __future__ import annotations

import os
from pathlib import Path
import subprocess
import sys
from tempfile import gettempdir

from testtools import TestCase

_SCRIPT = Path(__file__).resolve().parents[2] / "tools" / "launch.py"


class LaunchTest(TestCase):
    """The script runs as an operator calls it."""

    def test_runs_without_pythonpath_from_any_directory(self) -> None:
        """Guards against a script that needs PYTHONPATH or its directory."""
        environment = {
            name: value
            for name, value in os.environ.items()
            if name != "PYTHONPATH"
        }
        run = subprocess.run(
            [sys.executable, str(_SCRIPT), "--help"],
            cwd=gettempdir(),
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        self.assertEqual(0, run.returncode, run.stderr)
        self.assertIn("--entries", run.stdout)
