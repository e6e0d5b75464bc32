"""News of a stand-in worker in order of their sequence numbers."""

from __future__ import annotations

from collections import deque
import math
from typing import TYPE_CHECKING

from carawaystep.worker.ended_task import EndedTask
from carawaystep.worker.execution_end import ExecutionEnd

if TYPE_CHECKING:
    from carawaystep.standin.worker.execution import Execution

# An owner that was cut off for long must still learn every end.
_KEPT_ENDS = 10_000


class ReportLog:
    """Ends of tasks and the leaving of the worker."""

    def __init__(self) -> None:
        """Create a log without news."""
        self._sequence = 0
        self._ends: deque[tuple[float, EndedTask]] = deque(maxlen=_KEPT_ENDS)
        self._left: tuple[float, int] | None = None

    @property
    def sequence(self) -> int:
        """Return the sequence number of the last news."""
        return self._sequence

    def append_end(
        self, execution: Execution, checkpoint: str | None, now: float
    ) -> None:
        """Add the end of a task.

        :param execution: its record with end
        :param checkpoint: object key of its last checkpoint, or None
        :param now: present time, seconds of a monotonic clock
        """
        assert execution.how is not None
        failed = execution.how is ExecutionEnd.FAILED
        self._sequence += 1
        ended = EndedTask(
            self._sequence,
            execution.id,
            execution.attempt,
            execution.how,
            checkpoint,
            "the execution failed" if failed else "",
        )
        self._ends.append((now, ended))

    def forget(self, sequence: int) -> None:
        """Drop the ends up to a sequence number."""
        while self._ends and self._ends[0][1].sequence <= sequence:
            self._ends.popleft()

    def append_leaving(self, now: float) -> None:
        """Add that the worker is leaving."""
        if self._left is None:
            self._sequence += 1
            self._left = (now, self._sequence)

    def leaving(self, seen_at: float) -> bool:
        """Tell whether the worker was leaving at a past time."""
        return self._left is not None and self._left[0] <= seen_at

    def ended(self, since: int, seen_at: float) -> tuple[EndedTask, ...]:
        """Return the ends after a sequence number, up to a past time."""
        found: list[EndedTask] = []
        for known_at, ended in reversed(self._ends):
            if ended.sequence <= since:
                break
            if known_at <= seen_at:
                found.append(ended)
        return tuple(reversed(found))

    def last_sequence(self, since: int, seen_at: float) -> int:
        """Return the sequence number to poll from after a report.

        :param since: sequence number of the last report
        :param seen_at: the report holds news up to this time
        """
        last = since
        if self._left is not None and self._left[0] <= seen_at:
            last = max(last, self._left[1])
        for known_at, ended in reversed(self._ends):
            if known_at <= seen_at:
                return max(last, ended.sequence)
        return last

    def next_at(self, since: int) -> float:
        """Return when the first news after a sequence number arose.

        :returns: infinity when there is none yet
        """
        first = math.inf
        if self._left is not None and self._left[1] > since:
            first = self._left[0]
        for known_at, ended in reversed(self._ends):
            if ended.sequence <= since:
                break
            first = min(first, known_at)
        return first
