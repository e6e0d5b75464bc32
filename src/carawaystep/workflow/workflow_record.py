"""Stored progress of a workflow."""

from __future__ import annotations

import msgspec


class TaskRecord(msgspec.Struct, array_like=True, frozen=True):
    """Progress of a task that has been placed at least once.

    :param occurrence: number of the occurrence, from 0
    :param step: number of the step, from 0
    :param index: number of the task within the step, from 0
    :param state: value of its TaskState
    :param run: number of the last run
    :param worker_id: instance id of the current run's worker, empty unless
        placed
    :param worker_started_at_ms: Unix time of the start of that worker's
        lifetime in milliseconds, 0 unless placed
    :param checkpoint: latest checkpoint, empty for none
    :param failures: number of runs that have failed
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
    :param cancelled: whether the caller has cancelled it
    :param failed: whether a task has used up its attempts
    :param started_in_turn: whether a task that has been placed was not forced
    """

    tasks: list[TaskRecord]
    cancelled: bool = False
    failed: bool = False
    started_in_turn: bool = True
