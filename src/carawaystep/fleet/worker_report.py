"""Reports of workers about their runs."""

from __future__ import annotations

import msgspec

from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.task_ref import TaskRef


class ReportedRun(msgspec.Struct, array_like=True, frozen=True):
    """A run that is on the worker.

    :param ref: the task
    :param run: number of the run
    :param checkpoint: latest checkpoint, empty for none
    :param progress_percent: progress; 100 once a long-running task has
        finished starting up
    :param tail_ms_or_cpu_millis: recent rough value of the tail latency of a
        serving task, in ms, or of the CPU that any other task uses, in
        thousandths of a core
    """

    ref: TaskRef
    run: int
    checkpoint: str
    progress_percent: float
    tail_ms_or_cpu_millis: float


class EndedRun(msgspec.Struct, array_like=True, frozen=True):
    """A run that has ended and whose end is not acknowledged yet.

    :param number: sequence number of the end in the worker's lifetime
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
    """The runs of one worker at one moment.

    :param worker: lifetime that reported
    :param running: all runs on the worker
    :param ended: ended runs that are not acknowledged, in order of their
        numbers
    :param remaining_s: minimum time until a draining worker leaves, None
        when it is not draining
    :param ends_truncated: whether the worker may have more unacknowledged
        ends than the report lists; such a report does not tell which runs
        do not exist
    """

    worker: WorkerKey
    running: list[ReportedRun]
    ended: list[EndedRun]
    remaining_s: float | None = None
    ends_truncated: bool = False
