"""What a worker says about its runs."""

from __future__ import annotations

import msgspec

from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.task_ref import TaskRef


class RunningTask(msgspec.Struct, array_like=True, frozen=True):
    """A run that is on the worker.

    :param ref: the task
    :param run: number of the run
    :param checkpoint: latest checkpoint, empty for none
    :param progress_percent: progress; for a long-running task 100 once it is at work
    :param tail_ms_or_cpu_millis: tail latency in ms of a serving task, otherwise the
        processor in use in thousandths of a core; a rough recent figure
    """

    ref: TaskRef
    run: int
    checkpoint: str
    progress_percent: float
    tail_ms_or_cpu_millis: float


class EndedRun(msgspec.Struct, array_like=True, frozen=True):
    """A run that has ended and is not acknowledged yet.

    :param number: position in the worker's list of ends
    :param ref: the task
    :param run: number of the run
    :param end: how it ended
    :param checkpoint: latest checkpoint, empty for none
    """

    number: int
    ref: TaskRef
    run: int
    end: RunEnd
    checkpoint: str


class WorkerReport(msgspec.Struct, array_like=True, frozen=True):
    """State of one worker at one moment.

    :param worker: lifetime that reported
    :param running: everything that runs on it
    :param ended: ends beyond the acknowledged ones
    :param remaining_s: seconds until a draining worker leaves, at least;
        None when it is not draining
    """

    worker: WorkerKey
    running: list[RunningTask]
    ended: list[EndedRun]
    remaining_s: float | None = None
