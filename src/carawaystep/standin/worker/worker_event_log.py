"""Events of a stand-in worker, ordered by sequence number."""

from __future__ import annotations

from collections import deque
import math
from typing import TYPE_CHECKING

from carawaystep.worker.ended_task import EndedTask
from carawaystep.worker.execution_end import ExecutionEnd

if TYPE_CHECKING:
    from carawaystep.standin.worker.execution import Execution

# Limits the memory, but lets an owner that was disconnected for a long time
# still receive every ended task.
_MAX_ENDED_TASKS = 10_000


class WorkerEventLog:
    """Ended tasks, and the time from which the worker is leaving."""

    def __init__(self) -> None:
        """Create an empty log."""
        self._sequence = 0
        self._ended_tasks: deque[tuple[float, EndedTask]] = deque(
            maxlen=_MAX_ENDED_TASKS
        )
        self._leaving_event: tuple[float, int] | None = None

    @property
    def sequence(self) -> int:
        """Return the sequence number of the last event."""
        return self._sequence

    def append_task_end(
        self, execution: Execution, checkpoint: str | None, now: float
    ) -> None:
        """Append the end of a task.

        :param execution: its ledger record, with the end set
        :param checkpoint: object key of its last checkpoint, or None
        :param now: current monotonic time in seconds
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
        self._ended_tasks.append((now, ended))

    def discard_ended_through(self, sequence: int) -> None:
        """Discard the ended tasks up to and including a sequence number."""
        while (
            self._ended_tasks and self._ended_tasks[0][1].sequence <= sequence
        ):
            self._ended_tasks.popleft()

    def append_leaving(self, now: float) -> None:
        """Append that the worker is leaving; later calls do nothing."""
        if self._leaving_event is None:
            self._sequence += 1
            self._leaving_event = (now, self._sequence)

    def was_leaving(self, as_of: float) -> bool:
        """Return whether the worker was leaving at a past time."""
        return (
            self._leaving_event is not None and self._leaving_event[0] <= as_of
        )

    def ended_tasks(self, since: int, as_of: float) -> tuple[EndedTask, ...]:
        """Return the tasks that ended after an event, up to a past time.

        :param since: sequence number of the event
        :param as_of: monotonic time in seconds
        """
        found: list[EndedTask] = []
        for recorded_at, ended in reversed(self._ended_tasks):
            if ended.sequence <= since:
                break
            if recorded_at <= as_of:
                found.append(ended)
        return tuple(reversed(found))

    def last_sequence(self, since: int, as_of: float) -> int:
        """Return the sequence number to poll from after a report.

        :param since: sequence number of the last report
        :param as_of: time up to which the report shows events
        """
        last = since
        if self._leaving_event is not None and self._leaving_event[0] <= as_of:
            last = max(last, self._leaving_event[1])
        for recorded_at, ended in reversed(self._ended_tasks):
            if recorded_at <= as_of:
                return max(last, ended.sequence)
        return last

    def next_event_at(self, since: int) -> float:
        """Return the time of the first event after a sequence number.

        :returns: monotonic time in seconds, infinity if there is none yet
        """
        first = math.inf
        if self._leaving_event is not None and self._leaving_event[1] > since:
            first = self._leaving_event[0]
        for recorded_at, ended in reversed(self._ended_tasks):
            if ended.sequence <= since:
                break
            first = min(first, recorded_at)
        return first
