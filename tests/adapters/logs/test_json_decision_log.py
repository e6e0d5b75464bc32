"""Tests of the log of decisions."""

from __future__ import annotations

from contextlib import redirect_stdout
from io import StringIO
import json

from testtools import TestCase

from carawaystep.adapters.logs.json_decision_log import JsonDecisionLog


class JsonDecisionLogTest(TestCase):
    """Lines and their limits."""

    def _written(self, events: int) -> list[dict[str, object]]:
        output = StringIO()
        with redirect_stdout(output):
            log = JsonDecisionLog("edge-1")
            for number in range(events):
                log.line("task.placed", f"t{number}", run=1, age_s=0.12345)
            log.close()
        return [json.loads(line) for line in output.getvalue().splitlines()]

    def test_line_has_event_id_inputs_and_node(self) -> None:
        """Guards against lines that cannot be searched by id."""
        (line,) = self._written(1)
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

    def test_observer_hears_every_line(self) -> None:
        """Guards against counters that miss what the log leaves out."""
        heard: list[str] = []
        with redirect_stdout(StringIO()):
            log = JsonDecisionLog("edge-1")
            log.set_observer(lambda event, inputs: heard.append(event))
            for number in range(1000):
                log.line("task.placed", f"t{number}")
            log.close()
        self.assertEqual(1000, len(heard))

    def test_flood_is_cut_and_counted(self) -> None:
        """Guards against a volume that grows with the load."""
        lines = self._written(3000)
        left_out = [x for x in lines if x["event"] == "log.left_out"]
        written = len(lines) - len(left_out)
        self.assertLess(written, 3000)
        total = written + sum(int(str(x["count"])) for x in left_out)
        self.assertEqual(3000, total)
