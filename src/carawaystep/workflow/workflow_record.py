"""What is stored of a workflow's progress."""

from __future__ import annotations

import msgspec


class TaskRecord(msgspec.Struct, array_like=True, frozen=True):
    """A task that differs from one that never started.

    :param occurrence: number of the occurrence
    :param step: number of the step
    :param index: number of the task
    :param state: value of its TaskState
    :param run: number of the last run
    :param worker_id: instance id of the present run's worker, or empty
    :param worker_started_at_ms: start of that worker's lifetime
    :param checkpoint: latest checkpoint
    :param failures: runs that ended as failed
    """

    occurrence: int
    step: int
    index: int
    state: str
    run: int
    worker_id: str
    worker_started_at_ms: int
    checkpoint: str
    failures: int


class WorkflowRecord(msgspec.Struct, frozen=True):
    """Progress of one workflow.

    :param tasks: tasks that have been placed at least once
    :param cancelled: whether the caller cancelled it
    :param failed: whether a task used up its attempts
    """

    tasks: list[TaskRecord]
    cancelled: bool = False
    failed: bool = False
