"""Kinds of work on a worker."""

from __future__ import annotations

from enum import StrEnum


class WorkKind(StrEnum):
    """What a reservation is for."""

    REQUEST = "request"
    TASK = "task"
