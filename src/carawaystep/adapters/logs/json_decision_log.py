"""Decisions as JSON lines on standard output."""

from __future__ import annotations

import logging
from logging.handlers import QueueHandler
from logging.handlers import QueueListener
import queue
import sys
import time
from typing import TYPE_CHECKING

from absl import logging as absl_logging
import msgspec

from carawaystep.planner.decision_log import DecisionLog

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    _Observer = Callable[[str, Mapping[str, str | int | float]], None]

_QUEUED_LINES = 4000
# Lines of one kind in a second; the number left out follows in a line.
_LINES_PER_S = 200


class _DroppingHandler(QueueHandler):
    """Drops lines when the writing thread cannot keep up."""

    def __init__(self, lines: queue.Queue[logging.LogRecord]) -> None:
        super().__init__(lines)
        self.dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        return record


class JsonDecisionLog(DecisionLog):
    """One JSON object a line, written by a thread of its own."""

    def __init__(self, node: str) -> None:
        """Start the writing thread.

        :param node: name of the node, part of each line
        """
        self._node = node
        self._encoder = msgspec.json.Encoder()
        lines: queue.Queue[logging.LogRecord] = queue.Queue(_QUEUED_LINES)
        self._handler = _DroppingHandler(lines)
        output = logging.StreamHandler(sys.stdout)
        output.setFormatter(logging.Formatter("%(message)s"))
        self._listener = QueueListener(lines, output)
        self._listener.start()
        self._logger = absl_logging.get_absl_logger()
        for handler in list(self._logger.handlers):
            self._logger.removeHandler(handler)
        self._logger.addHandler(self._handler)
        self._logger.propagate = False
        absl_logging.set_verbosity(absl_logging.INFO)
        self._second = 0
        self._counts: dict[str, int] = {}
        self._on_line: _Observer | None = None

    def set_observer(self, on_line: _Observer) -> None:
        """Call a function for each line, also for those left out.

        :param on_line: takes event and inputs, such as to count
        """
        self._on_line = on_line

    def line(
        self, event: str, subject: str, **inputs: str | int | float
    ) -> None:
        """Record a decision without waiting."""
        if self._on_line is not None:
            self._on_line(event, inputs)
        now = time.time()
        if int(now) != self._second:
            self._close_second(now)
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        if count <= _LINES_PER_S:
            self._write(now, event, subject, inputs)

    def close(self) -> None:
        """Write what is queued and stop the thread."""
        self._close_second(time.time())
        self._listener.stop()

    def _close_second(self, now: float) -> None:
        for event, count in self._counts.items():
            if count > _LINES_PER_S:
                self._write(
                    now,
                    "log.left_out",
                    self._node,
                    {"lines": event, "count": count - _LINES_PER_S},
                )
        self._counts.clear()
        self._second = int(now)

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
        self._logger.info("%s", self._encoder.encode(fields).decode())
