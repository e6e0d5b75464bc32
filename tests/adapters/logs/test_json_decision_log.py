"""Tests of the JSON decision log."""

from __future__ import annotations

from contextlib import redirect_stdout
from io import StringIO
import json
from threading import Event

from testtools import TestCase

from carawaystep.adapters.logs.json_decision_log import JsonDecisionLog

# The writer may have taken a full queue of 4,000 lines when its output blocks;
# the next 4,000 fill the queue again.
_LINES_BEYOND_QUEUE = 10_000


class _BlockedOutput(StringIO):
    """Blocks the writing thread, like a pipe that nobody reads."""

    def __init__(self) -> None:
        super().__init__()
        self.unblocked = Event()

    def write(self, text: str) -> int:
        self.unblocked.wait()
        return super().write(text)


class JsonDecisionLogTest(TestCase):
    """Tests the content of lines and their limit per second."""

    def _log_lines(self, event_count: int) -> list[dict[str, object]]:
        """Log a number of equal events and return the written lines."""
        output = StringIO()
        with redirect_stdout(output):
            log = JsonDecisionLog("edge-1")
            for number in range(event_count):
                log.line("task.placed", f"t{number}", run=1, age_s=0.12345)
            log.close()
        return [json.loads(line) for line in output.getvalue().splitlines()]

    def test_line_has_event_id_inputs_and_node(self) -> None:
        """Guards against lines that cannot be found by id."""
        (line,) = self._log_lines(1)
        del line["t"]
        self.assertEqual(
            {
                "node": "edge-1",
                "event": "task.placed",
                "id": "t0",
                "run": 1,
                "age_s": 0.123,
            },
            line,
        )

    def test_lines_dropped_by_a_full_queue_are_counted(self) -> None:
        """Guards against a gap in the log that nothing reports."""
        output = _BlockedOutput()
        with redirect_stdout(output):
            log = JsonDecisionLog("edge-1")
            for number in range(_LINES_BEYOND_QUEUE):
                log.line(f"event.{number // 150}", "t")
            output.unblocked.set()
            log.close()
        lines = [json.loads(line) for line in output.getvalue().splitlines()]
        reports = [line for line in lines if line["event"] == "log.dropped"]
        dropped_count = sum(line["count"] for line in reports)
        self.assertGreater(dropped_count, 0)
        self.assertEqual(
            _LINES_BEYOND_QUEUE, len(lines) - len(reports) + dropped_count
        )

    def test_observer_receives_every_line(self) -> None:
        """Guards against metrics that do not count omitted lines."""
        observed_events: list[str] = []
        with redirect_stdout(StringIO()):
            log = JsonDecisionLog("edge-1")
            log.set_observer(
                lambda event, inputs: observed_events.append(event)
            )
            for number in range(1000):
                log.line("task.placed", f"t{number}")
            log.close()
        self.assertEqual(1000, len(observed_events))

    def test_lines_over_the_limit_are_omitted_and_counted(self) -> None:
        """Guards against a log volume that grows with the load."""
        lines = self._log_lines(3000)
        omissions = [line for line in lines if line["event"] == "log.left_out"]
        written_count = len(lines) - len(omissions)
        self.assertLess(written_count, 3000)
        total = written_count + sum(
            int(str(line["count"])) for line in omissions
        )
        self.assertEqual(3000, total)
