"""One task of a workflow."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from carawaystep.workflow.task_state import TaskState

if TYPE_CHECKING:
    from carawaystep.fleet.worker_key import WorkerKey


@dataclass(slots=True)
class Task:
    """State of a task; only its workflow changes it.

    :param state: current state
    :param run: number of the last run, 0 before the first
    :param worker: worker of the current run, None unless placed
    :param checkpoint: latest checkpoint, empty for none
    :param failures: number of runs that have failed
    :param seen_running: whether a report has listed the current run
    :param failed_on: time of the last failed run in this term by worker,
        seconds of a monotonic clock
    """

    state: TaskState = TaskState.WAITING
    run: int = 0
    worker: WorkerKey | None = None
    checkpoint: str = ""
    failures: int = 0
    seen_running: bool = False
    failed_on: dict[WorkerKey, float] = field(default_factory=dict)
