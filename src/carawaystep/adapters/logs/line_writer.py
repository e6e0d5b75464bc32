"""Thread that writes lines in batches."""

from __future__ import annotations

from collections import deque
import logging
from threading import Event
from threading import Thread
from typing import TextIO

_MAX_QUEUED_LINES = 4000
# Lines of this time are written at once: a thread that wakes for each line
# takes much of the processor from the event loop.
_BATCH_WINDOW_S = 0.05


class LineWriter(logging.Handler):
    """Queues lines without blocking and drops them when the queue is full.

    It is also the handler of the messages that other code logs.
    """

    def __init__(self, output: TextIO) -> None:
        """Start the thread.

        :param output: receives the lines
        """
        super().__init__()
        self._output = output
        self._lines: deque[str] = deque()
        self._line_added = Event()
        self._all_written = Event()
        self._stopping = Event()
        self.dropped_lines = 0
        self._thread = Thread(
            target=self._write_batches, name="log writer", daemon=True
        )
        self._thread.start()

    def write(self, line: str) -> None:
        """Queue a line, without its end."""
        if len(self._lines) >= _MAX_QUEUED_LINES:
            self.dropped_lines += 1
            return
        self._lines.append(line)
        if not self._line_added.is_set():
            self._all_written.clear()
            self._line_added.set()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue the message of a record."""
        self.write(self.format(record))

    def wait_until_written(self) -> None:
        """Wait until the lines that were queued before are written."""
        if self._line_added.is_set():
            self._all_written.wait()

    def stop(self) -> None:
        """Write what is queued and end the thread."""
        self._stopping.set()
        self._line_added.set()
        self._thread.join()

    def _write_batches(self) -> None:
        while not self._stopping.is_set() or self._lines:
            self._line_added.wait()
            self._stopping.wait(_BATCH_WINDOW_S)
            # Cleared first, so that a line that is added meanwhile is
            # written in the next round at the latest.
            self._line_added.clear()
            batch = [self._lines.popleft() for _ in range(len(self._lines))]
            if batch:
                self._output.write("\n".join([*batch, ""]))
                self._output.flush()
            if not self._lines:
                self._all_written.set()
