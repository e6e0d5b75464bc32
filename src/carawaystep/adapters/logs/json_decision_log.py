"""Decision log that writes JSON lines to standard output."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

from absl import logging as absl_logging
import msgspec

from carawaystep.adapters.logs.line_writer import LineWriter
from carawaystep.planner.decision_log import DecisionLog

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    _LineObserver = Callable[[str, Mapping[str, str | int | float]], None]

# Limit for one event name; a further line states how many were omitted.
_MAX_LINES_PER_EVENT_PER_S = 200


class JsonDecisionLog(DecisionLog):
    """Writes one JSON object per line, from a separate thread."""

    def __init__(self, node: str) -> None:
        """Start the writing thread.

        :param node: name of this process's node, included in each line
        """
        self._node = node
        self._encoder = msgspec.json.Encoder()
        self._writer = LineWriter(sys.stdout)
        logger = absl_logging.get_absl_logger()
        for handler in list(logger.handlers):
            logger.removeHandler(handler)
        logger.addHandler(self._writer)
        logger.propagate = False
        absl_logging.set_verbosity(absl_logging.INFO)
        self._current_second = 0
        self._counts: dict[str, int] = {}
        self._on_line: _LineObserver | None = None

    def set_observer(self, on_line: _LineObserver) -> None:
        """Set the function to call for each line, including omitted ones.

        :param on_line: receives the event and the fields of the line, for
            metrics
        """
        self._on_line = on_line

    def line(
        self, event: str, subject: str, **inputs: str | int | float
    ) -> None:
        """Queue a line without blocking.

        :param event: name of the event
        :param subject: id of what the event is about, written as ``id``
        :param inputs: further fields of the line
        """
        if self._on_line is not None:
            self._on_line(event, inputs)
        now = time.time()
        if int(now) != self._current_second:
            self._flush_line_counts(now)
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        if count <= _MAX_LINES_PER_EVENT_PER_S:
            self._write(now, event, subject, inputs)

    def close(self) -> None:
        """Write all queued lines and stop the thread."""
        now = time.time()
        self._flush_line_counts(now)
        # A full queue would take no report.
        self._writer.wait_until_written()
        self._report_dropped_lines(now)
        self._writer.stop()

    def _flush_line_counts(self, now: float) -> None:
        for event, count in self._counts.items():
            if count > _MAX_LINES_PER_EVENT_PER_S:
                self._write(
                    now,
                    "log.left_out",
                    self._node,
                    {
                        "lines": event,
                        "count": count - _MAX_LINES_PER_EVENT_PER_S,
                    },
                )
        self._counts.clear()
        self._current_second = int(now)
        self._report_dropped_lines(now)

    def _report_dropped_lines(self, now: float) -> None:
        """Report dropped lines once; repeat it if the report was dropped."""
        count = self._writer.dropped_lines
        if count == 0:
            return
        self._write(now, "log.dropped", self._node, {"count": count})
        report_dropped = self._writer.dropped_lines > count
        self._writer.dropped_lines = count if report_dropped else 0

    def _write(
        self,
        now: float,
        event: str,
        subject: str,
        inputs: dict[str, str | int | float],
    ) -> None:
        fields = {
            "t": round(now, 3),
            "node": self._node,
            "event": event,
            "id": subject,
            **{
                name: round(value, 3) if isinstance(value, float) else value
                for name, value in inputs.items()
            },
        }
        self._writer.write(self._encoder.encode(fields).decode())
