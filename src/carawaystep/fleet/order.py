"""Orders to workers."""

from __future__ import annotations

import msgspec

from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.workflow.task_ref import TaskRef


class Order(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Base class of all orders.

    :param worker: lifetime of the worker that must execute the order
    :param ref: the task
    :param run: number of the run
    """

    worker: WorkerKey
    ref: TaskRef
    run: int


class StartOrder(Order, frozen=True):
    """Starts a run.

    :param payload: opaque text that the caller submitted
    :param checkpoint: checkpoint to resume from, empty for none
    :param ticket: ticket of the placement service, empty for none
    """

    payload: str
    checkpoint: str = ""
    ticket: str = ""


class StopOrder(Order, frozen=True):
    """Stops a run, or makes sure that it never starts."""


class PaceOrder(Order, frozen=True):
    """Limits the speed of a run.

    :param pace_percent: share of full speed, 0 to 100
    """

    pace_percent: int
