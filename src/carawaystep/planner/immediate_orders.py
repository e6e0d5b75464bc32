"""Orders that may be sent without a commit, and their log lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.fleet.order import PaceOrder
from carawaystep.fleet.order import StopOrder

if TYPE_CHECKING:
    from carawaystep.fleet.order import Order
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.workflow.task_ref import TaskRef


class ImmediateOrders:
    """Collects stop and pace orders, which are sent without a commit."""

    def __init__(self, log: DecisionLog) -> None:
        """Create a collection without orders.

        :param log: receives a line for each new order
        """
        self._log = log
        self._orders: list[Order] = []

    def take_orders(self) -> list[Order]:
        """Return the orders added since the last call."""
        orders, self._orders = self._orders, []
        return orders

    def stop(
        self, worker: TrackedWorker, ref: TaskRef, run: int, reason: str
    ) -> None:
        """Order a stop unless the run is gone or already stopping.

        :param run: number of the run
        :param reason: reason for the log
        """
        tracked = worker.runs.get(ref)
        if tracked is None or tracked.run != run or tracked.stopping:
            return
        tracked.stopping = True
        self._orders.append(StopOrder(worker.key, ref, run))
        self._log.line(
            "task.stopping",
            str(ref),
            run=run,
            worker=worker.key.id,
            reason=reason,
        )

    def stop_unexpected(
        self, worker: TrackedWorker, ref: TaskRef, run: int
    ) -> None:
        """Order the stop of a run that the planner does not expect there."""
        self._orders.append(StopOrder(worker.key, ref, run))
        self._log.line(
            "task.unexpected", str(ref), run=run, worker=worker.key.id
        )

    def repeat_stop(
        self, worker: TrackedWorker, ref: TaskRef, run: int
    ) -> None:
        """Order a stop again, in case the earlier order was lost."""
        self._orders.append(StopOrder(worker.key, ref, run))

    def set_pace(
        self,
        worker: TrackedWorker,
        ref: TaskRef,
        pace_percent: int,
        now: float,
    ) -> None:
        """Set the pace of a run.

        :param pace_percent: share of full speed, 0 to 100
        :param now: current time, seconds of a monotonic clock
        """
        run = worker.runs[ref].run
        worker.set_pace(ref, pace_percent, now)
        self._orders.append(PaceOrder(worker.key, ref, run, pace_percent))
        self._log.line(
            "task.paced",
            str(ref),
            run=run,
            worker=worker.key.id,
            percent=pace_percent,
        )
