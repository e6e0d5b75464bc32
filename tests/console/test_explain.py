"""Tests of the command ``explain``."""

from __future__ import annotations

from contextlib import redirect_stderr
from contextlib import redirect_stdout
from io import StringIO
import json
from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase

from carawaystep.console.application import run


def _line(at: float, event: str, subject: str, **inputs: object) -> str:
    fields = {"t": at, "node": "edge-1", "event": event, "id": subject}
    return json.dumps({**fields, **inputs})


class ExplainTest(TestCase):
    """Tests of the output for decision logs of several processes."""

    def _run(
        self, *lines: str, submission_id: str = "5c0e"
    ) -> tuple[int, str]:
        with TemporaryDirectory() as directory:
            logs = []
            for number, line in enumerate(lines):
                path = Path(directory) / f"{number}.log"
                path.write_text(f"{line}\n")
                logs.append(str(path))
            output = StringIO()
            with redirect_stdout(output), redirect_stderr(output):
                code = run(["explain", submission_id, *logs])
        return code, output.getvalue()

    def test_decisions_of_all_processes_are_in_order_of_time(self) -> None:
        """Guards against causes that are listed after their effects."""
        code, output_text = self._run(
            _line(12.0, "task.ended", "5c0e.0.0.1", end="failed"),
            "  11.0 edge-2 " + _line(11.0, "store.lost", "store"),
            _line(10.0, "workflow.admitted", "5c0e"),
            _line(9.0, "store.lost", "store"),
            _line(11.5, "task.placed", "77aa.0.0.1"),
            "no decision",
        )
        self.assertEqual(0, code)
        events = [line.split()[2] for line in output_text.splitlines()]
        self.assertEqual(
            ["workflow.admitted", "store.lost", "task.ended"], events
        )
        self.assertIn("end=failed", output_text)

    def test_time_of_a_submission_is_split(self) -> None:
        """Guards against a late submission of which no cause is shown."""
        line = _line(
            12.0,
            "workflow.timed",
            "5c0e",
            use="late",
            total_s=1.24,
            target_s=0.9,
            wait_s=0.7,
            wait_cpu_s=0.4,
            run_s=0.5,
            declared_s=0.2,
        )
        _, output_text = self._run(line)
        for text in (
            "took 1.24 s, late; its target was 0.9 s",
            "0.7 s ready until placed",
            "0.4 s refused by: cpu",
            "(declared: 0.2 s)",
        ):
            self.assertIn(text, output_text)

    def test_unknown_submission_is_reported(self) -> None:
        """Guards against empty output for a submission without decisions."""
        code, output_text = self._run(_line(1.0, "task.ended", "77aa.0.0.1"))
        self.assertEqual(1, code)
        self.assertIn("no decision about 5c0e", output_text)

    def test_missing_log_is_reported(self) -> None:
        """Guards against a traceback when a log file does not exist."""
        output = StringIO()
        with redirect_stderr(output):
            self.assertEqual(2, run(["explain", "5c0e", "/absent.log"]))
        self.assertIn("/absent.log", output.getvalue())
