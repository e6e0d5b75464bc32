"""Tests of the command that checks a manifest."""

from __future__ import annotations

import contextlib
import io
import json
from pathlib import Path
import subprocess
import sys
import tempfile
from typing import Any

from testtools import TestCase

from carawaystep_platform.manifest_check.command import run
from tests.users_platform.manifest_check.manifests import FLEET
from tests.users_platform.manifest_check.manifests import make_manifest
from tests.users_platform.manifest_check.manifests import make_route
from tests.users_platform.manifest_check.manifests import make_sample

_SCRIPT = Path(__file__).parents[3] / "platform" / "check_manifest.py"
_ROUTE_COUNT = 10_000
_WORKER_COUNT = 3200
_MAX_TIME_S = 2.0
_MAX_MEMORY_KB = 200 * 1024


# The memory of a process is at least that of its parent when it was started,
# so that the command is not started by the large process of the tests.
_MEASURE = """
import resource, subprocess, sys
subprocess.run(sys.argv[1:], stdout=subprocess.DEVNULL)
usage = resource.getrusage(resource.RUSAGE_CHILDREN)
print(usage.ru_utime + usage.ru_stime, usage.ru_maxrss)
"""


class CommandTest(TestCase):
    """Exit codes, output and cost of the command."""

    def setUp(self) -> None:
        """Create a directory for the files."""
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self._directory = Path(directory.name)

    def test_exit_codes(self) -> None:
        """Guards against scripts that send a manifest which cannot work."""
        valid = self._write("valid", make_manifest())
        warned = self._write("warned", make_manifest(make_route(stretch=0.5)))
        wrong = self._write("wrong", make_manifest(make_route(service="x")))
        absent = str(self._directory / "absent")
        latin = self._directory / "latin"
        latin.write_bytes(b"\xe9")
        for arguments, code in (
            ([valid], 0),
            ([valid, "--strict"], 0),
            ([warned], 0),
            ([warned, "--strict"], 1),
            ([wrong], 1),
            ([valid, "--in-force", valid], 1),
            ([absent], 2),
            ([str(latin)], 2),
            ([valid, "--fleet", valid], 2),
            ([valid, "--samples", valid], 2),
            ([valid, "--in-force", absent], 2),
        ):
            self.assertEqual(code, self._run(*arguments)[0], arguments)

    def test_reports(self) -> None:
        """Guards against changes of the report that people and tools read."""
        path = self._write("m", make_manifest(make_route(max_attempts=0)))
        code, output, _ = self._run(path, "--format", "json", "--strict")
        expected = {
            "code": "no-attempts",
            "severity": "warning",
            "path": "routes[0].max_attempts",
            "detail": "0 attempts are allowed, and a task gets one all the"
            " same",
            "advice": "write 1 for a single attempt, or more",
        }
        self.assertEqual(1, code)
        self.assertEqual(
            {"ok": False, "findings": [expected]}, json.loads(output)
        )
        self.assertEqual(
            f"{path}: warning no-attempts at routes[0].max_attempts:"
            f" {expected['detail']}; {expected['advice']}\n"
            f"{path}: 0 errors, 1 warning, 0 notices\n",
            self._run(path)[1],
        )
        code, output, errors = self._run(path, "--fleet", path)
        self.assertEqual("", output)
        self.assertIn("fleet: error wrong-type at workers:", errors)

    def test_many_routes(self) -> None:
        """Guards against a cost that grows with the square of the routes."""
        numbers = range(1, _ROUTE_COUNT + 1)
        before = make_manifest(*map(make_route, numbers))
        changed = make_manifest(
            *(
                make_route(number, priority=1, stretch=0.5, service="other")
                for number in numbers
            ),
            version=4,
            services=[],
        )
        shadowed = make_manifest(
            *(make_route(number, path_prefix="/") for number in numbers),
            version=4,
        )
        invalid = make_manifest(
            *(make_route(number, host=None) for number in numbers)
        )
        fleet = [
            {**FLEET[0], "labels": [f"rack-{number}"]}
            for number in range(_WORKER_COUNT)
        ]
        sample = make_sample(constraints="none")[0]
        samples = [{**sample, "queue": f"r-{number}"} for number in numbers]
        files = [
            "--in-force",
            self._write("before", before),
            "--fleet",
            self._write("fleet", fleet),
            "--samples",
            self._write("samples", samples),
        ]
        for manifest in (changed, shadowed, invalid):
            path = self._write("manifest", manifest)
            time_s, memory_kb = self._measure(path, *files)
            self.assertLess(time_s, _MAX_TIME_S)
            self.assertLess(memory_kb, _MAX_MEMORY_KB)

    def _write(self, name: str, content: Any) -> str:
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(content))
        return str(path)

    def _run(self, *arguments: str) -> tuple[int, str, str]:
        output, errors = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(errors),
        ):
            code = run(list(arguments))
        return code, output.getvalue(), errors.getvalue()

    def _measure(self, *arguments: str) -> tuple[float, int]:
        """Return processor time and memory of the command in a process."""
        command = [sys.executable, str(_SCRIPT), *arguments]
        measured = subprocess.run(
            [sys.executable, "-c", _MEASURE, *command],
            capture_output=True,
            check=True,
            text=True,
        )
        time_s, memory_kb = measured.stdout.split()
        return float(time_s), int(memory_kb)
