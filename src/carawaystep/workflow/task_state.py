"""States of a task."""

from __future__ import annotations

from enum import StrEnum


class TaskState(StrEnum):
    """State of a task between its submission and its end.

    A task is ``PLACED`` as long as a run of it may exist on a worker.
    """

    WAITING = "w"
    PLACED = "p"
    DONE = "d"
