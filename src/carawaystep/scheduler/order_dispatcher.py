"""Orders on their way to the workers."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from carawaystep.cluster.messages import NumberedOrder
from carawaystep.cluster.messages import Orders
from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.order_outcome import OrderOutcome

if TYPE_CHECKING:
    import asyncio

    from carawaystep.fleet.order import Order
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.planner.planner import Planner
    from carawaystep.scheduler.member_sessions import MemberSessions
    from carawaystep.scheduler.worker_assignments import WorkerAssignments

_ORDER_TIMEOUT_S = 1.5


class OrderDispatcher:
    """Sends orders through the members and passes each outcome on once.

    Invariant: each order that was sent gets exactly one outcome. That of an
    order whose result does not arrive in time is unknown.
    """

    def __init__(
        self,
        term: int,
        planner: Planner,
        sessions: MemberSessions,
        assignments: WorkerAssignments,
        plan_requested: asyncio.Event,
        log: DecisionLog,
    ) -> None:
        """Create a dispatcher without orders.

        :param term: number of the leader's term
        :param planner: receives the outcomes
        :param sessions: sessions with the members
        :param assignments: which member calls which worker
        :param plan_requested: set when the planner has to plan again
        :param log: receives a line for each order that failed
        """
        self._term = term
        self._planner = planner
        self._sessions = sessions
        self._assignments = assignments
        self._plan_requested = plan_requested
        self._log = log
        self._numbers = count(1)
        # Orders without a result and when they were sent, by number.
        self._pending: dict[int, tuple[Order, float]] = {}

    async def dispatch(self, orders: list[Order], now: float) -> None:
        """Send orders to the members that call their workers.

        :param now: current time in seconds, monotonic
        """
        by_member: dict[str, list[NumberedOrder]] = {}
        for order in orders:
            number = next(self._numbers)
            self._pending[number] = (order, now)
            member = self._assignments.member_name(order.worker)
            by_member.setdefault(member, []).append(
                NumberedOrder(number, order)  # type: ignore[arg-type]
            )
        for member, numbered in by_member.items():
            session = self._sessions.get(member)
            if session is not None and await session.send(
                Orders(self._term, numbered, session.member_timestamp)
            ):
                continue
            for item in numbered:
                self.apply_result(item.number, OrderOutcome.NOT_SENT, now)

    async def dispatch_stored(self, orders: list[Order], now: float) -> None:
        """Send the orders of a stored batch.

        Starts that have become obsolete during the commit are withdrawn.

        :param now: current time in seconds, monotonic
        """
        await self.dispatch(self._withdraw_starts(orders, now), now)

    def apply_result(
        self, number: int, outcome: OrderOutcome, now: float
    ) -> None:
        """Pass the outcome of an order on, unless it already has one.

        :param number: number of the order
        :param now: current time in seconds, monotonic
        """
        pending = self._pending.pop(number, None)
        if pending is None:
            return
        order, _ = pending
        self._planner.handle_order_outcome(order, outcome, now)
        if outcome is not OrderOutcome.DONE:
            self._log.line(
                "order.failed",
                str(order.ref),
                run=order.run,
                worker=order.worker.id,
                order=type(order).__name__,
                outcome=outcome,
            )
        self._plan_requested.set()

    def expire(self, now: float) -> None:
        """End the wait for results that are overdue.

        :param now: current time in seconds, monotonic
        """
        for number, (_, sent_at) in list(self._pending.items()):
            if now - sent_at > _ORDER_TIMEOUT_S:
                self.apply_result(number, OrderOutcome.UNKNOWN, now)

    def _withdraw_starts(self, orders: list[Order], now: float) -> list[Order]:
        """Withdraw the starts that must not be sent; return the others."""
        remaining: list[Order] = []
        for order in orders:
            if isinstance(order, StartOrder):
                if not self._planner.should_send(order, now):
                    self._planner.withdraw_start(order)
                    self._plan_requested.set()
                    continue
                self._planner.record_sent(order, now)
            remaining.append(order)
        return remaining
