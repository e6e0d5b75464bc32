"""Identity of a task."""

from __future__ import annotations

from typing import NamedTuple


class TaskRef(NamedTuple):
    """Identifies one task of one occurrence of a workflow.

    :param workflow: id of the workflow
    :param occurrence: number of the scheduled occurrence, from 0
    :param step: number of the step, from 0
    :param task: number of the task within the step, from 0
    """

    workflow: str
    occurrence: int
    step: int
    task: int

    def __str__(self) -> str:
        """Return the name of the task in logs."""
        return f"{self.workflow}.{self.occurrence}.{self.step}.{self.task}"
