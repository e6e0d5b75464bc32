"""Urgency of a workflow, by which waiting tasks are ordered."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class UrgencyStage(IntEnum):
    """What a workflow can still achieve; lower values go first."""

    STARTED = 0
    ON_TIME = 1
    LATE = 2
    EXPIRED = 3


@dataclass(frozen=True, slots=True, order=True)
class Urgency:
    """Sort key of a workflow; the lowest one is the most urgent.

    A started workflow goes before those that have not started, so that the
    work already done for it is not lost while newer ones pass it.

    :param priority: priority of the workflow, 0 is the highest
    :param stage: what the workflow can still achieve
    :param seconds: remaining critical path of a started workflow, which lets
        short ones leave soon; else the wall-clock time of the deadline
    """

    priority: int
    stage: UrgencyStage
    seconds: float
