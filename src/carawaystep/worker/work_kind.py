"""Kinds of executions on a worker."""

from __future__ import annotations

from enum import StrEnum


class WorkKind(StrEnum):
    """What a worker executes.

    A request belongs to a caller who waits for its answer; a task is one
    attempt of a job.
    """

    REQUEST = "request"
    TASK = "task"
