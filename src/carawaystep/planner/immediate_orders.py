"""Orders of the planner and the log lines that go with them."""

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
    """Orders that need nothing stored first."""

    def __init__(self, log: DecisionLog) -> None:
        """Create a desk without orders.

        :param log: takes a line for each order
        """
        self._log = log
        self._orders: list[Order] = []

    def take_orders(self) -> list[Order]:
        """Return the orders given since the last call."""
        orders, self._orders = self._orders, []
        return orders

    def stop(
        self, worker: TrackedWorker, ref: TaskRef, run: int, reason: str
    ) -> None:
        """Have a run stopped unless that is under way."""
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
        """Have a run stopped that no planner of this term has placed."""
        self._orders.append(StopOrder(worker.key, ref, run))
        self._log.line(
            "task.unexpected", str(ref), run=run, worker=worker.key.id
        )

    def repeat_stop(
        self, worker: TrackedWorker, ref: TaskRef, run: int
    ) -> None:
        """Order again what should have stopped."""
        self._orders.append(StopOrder(worker.key, ref, run))

    def pace(
        self,
        worker: TrackedWorker,
        ref: TaskRef,
        percent: int,
        now: float,
    ) -> None:
        """Have a run work at a share of full speed."""
        run = worker.runs[ref].run
        worker.pace(ref, percent, now)
        self._orders.append(PaceOrder(worker.key, ref, run, percent))
        self._log.line(
            "task.paced",
            str(ref),
            run=run,
            worker=worker.key.id,
            percent=percent,
        )
