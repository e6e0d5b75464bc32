"""States of a task."""

from __future__ import annotations

from enum import StrEnum


class TaskState(StrEnum):
    """Where a task is between its submission and its end.

    ``PLACED`` covers every moment at which a run may exist on a worker.
    """

    WAITING = "w"
    PLACED = "p"
    DONE = "d"
