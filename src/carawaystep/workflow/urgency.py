"""Urgency of a workflow, by which waiting tasks are ordered."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class UrgencyStage(IntEnum):
    """What a workflow can still achieve; lower values go first."""

    INTERRUPTED = 0
    STARTED = 1
    ON_TIME = 2
    LATE = 3
    EXPIRED = 4


@dataclass(frozen=True, slots=True, order=True)
class Urgency:
    """Sort key of a workflow; the lowest one is the most urgent.

    A long-running workflow whose tasks lost their runs comes first, as it
    has no deadline to meet or to miss. A started workflow goes before those
    that have not started in their turn, so that the work already done for it
    is not lost while newer ones pass it.

    :param priority: priority of the workflow, 0 is the highest
    :param stage: what the workflow can still achieve
    :param remaining_s: remaining critical path of a started workflow, so
        that short ones leave soon; 0 in other stages
    :param deadline: wall-clock time in seconds
    :param workflow_id: makes the order of equal workflows definite
    """

    priority: int
    stage: UrgencyStage
    remaining_s: float
    deadline: float
    workflow_id: str
