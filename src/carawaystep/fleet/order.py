"""Orders to workers."""

from __future__ import annotations

import msgspec

from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.workflow.task_ref import TaskRef


class Order(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """What all orders have in common.

    :param worker: lifetime that must carry it out
    :param ref: the task
    :param run: number of the run
    """

    worker: WorkerKey
    ref: TaskRef
    run: int


class StartOrder(Order, frozen=True):
    """Start a run.

    :param payload: text that the caller submitted
    :param checkpoint: checkpoint to resume from, empty for none
    :param ticket: permission of the placement service, empty for none
    """

    payload: str
    checkpoint: str = ""
    ticket: str = ""


class StopOrder(Order, frozen=True):
    """Stop a run, or make sure that it never starts."""


class PaceOrder(Order, frozen=True):
    """Limit how much a run works.

    :param pace_percent: share of full speed, 0 to 100
    """

    pace_percent: int
