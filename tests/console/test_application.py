"""Tests of the command line interface and its daemon commands."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
import signal
import subprocess
import sys
import tempfile
from types import SimpleNamespace
from typing import Any
from unittest import mock

from testtools import TestCase

from carawaystep.console.application import run

_PLATFORM = "http: {host: 127.0.0.1, port: 80}\nvms: []\n"


class ApplicationTest(TestCase):
    """Tests of settings, signals and exit codes."""

    def test_daemon_rejects_invalid_settings(self) -> None:
        """Guards against a daemon that starts with invalid settings."""
        path = self._write_settings("htp: {}\nvms: []\n")
        completed = subprocess.run(
            [sys.executable, "-m", "carawaystep", "standin", "platform"]
            + ["--settings", path],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        self.assertEqual(78, completed.returncode)
        lines = completed.stderr.splitlines()
        self.assertEqual(2, len(lines))
        self.assertIn('1:1: key "http" is missing', lines[0])
        self.assertIn('1:1: unknown key "htp"', lines[1])

    def test_signal_sets_the_stop_event(self) -> None:
        """Guards against a signal that kills a stand-in without a shutdown."""
        served_ports = []

        async def serve(settings: Any, stop: asyncio.Event) -> None:
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.wait_for(stop.wait(), 10)
            served_ports.append(settings.http.port)

        name = "carawaystep.standin.platform.server"
        modules = {name: SimpleNamespace(serve=serve)}
        for parent in ("carawaystep.standin", "carawaystep.standin.platform"):
            modules[parent] = SimpleNamespace()
        with mock.patch.dict(sys.modules, modules):
            code = run(
                [
                    "standin",
                    "platform",
                    "--settings",
                    self._write_settings(_PLATFORM),
                ]
            )
        self.assertEqual((0, [80]), (code, served_ports))

    def test_exit_codes_of_version_and_usage(self) -> None:
        """Guards against wrong exit codes for --version, --help and misuse."""
        for arguments, code in (
            (["--version"], 0),
            (["entry", "--help"], 0),
            (["entry"], 2),
            (["nothing"], 2),
        ):
            error = self.assertRaises(SystemExit, run, arguments)
            self.assertEqual(code, error.code)

    def _write_settings(self, text: str) -> str:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = Path(directory.name) / "settings.yaml"
        path.write_text(text)
        return str(path)
