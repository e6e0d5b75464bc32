"""Tests of orders that wait at a member."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Ok
from testtools import TestCase

from carawaystep.cluster.messages import AssignedWorker
from carawaystep.cluster.messages import NumberedOrder
from carawaystep.cluster.messages import OrderResult
from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.order import StopOrder
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.fleet.worker_link import WorkerLink
from carawaystep.fleet.worker_report import WorkerReport
from carawaystep.scheduler.member_context import MemberContext
from carawaystep.scheduler.worker_proxy import WorkerProxy
from carawaystep.workflow.task_ref import TaskRef
from tests.planner.planners import RecordingLog

if TYPE_CHECKING:
    from result import Result

    from carawaystep.cluster.messages import FromMember
    from carawaystep.fleet.link_failure import LinkFailure
    from carawaystep.fleet.order import Order

_TERM = 5
_WORKER = WorkerKey("w1", 1)
_REF = TaskRef("a" * 16, 0, 0, 0)
_DECIDED_AT = 100.0


class _Member(MemberContext):
    """Has a settable clock and records the messages to the leader."""

    term = _TERM
    now = _DECIDED_AT

    def __init__(self) -> None:
        self.outcomes: list[OrderOutcome] = []
        self.order_answered = asyncio.Event()

    def holds_grant(self, term: int) -> bool:
        return True

    async def send(self, message: FromMember) -> bool:
        if isinstance(message, OrderResult):
            self.outcomes.append(message.outcome)
            self.order_answered.set()
        return True


class _Link(WorkerLink):
    """Records the orders that reach the worker."""

    def __init__(self) -> None:
        self.orders: list[Order] = []
        self.acknowledged: list[int] = []
        self.lifetime = _WORKER
        # Set by the third call.
        self.polled = asyncio.Event()

    async def fetch_report(
        self, token: int, acknowledged: int, extend_lease: bool, wait_s: float
    ) -> Result[WorkerReport, LinkFailure]:
        self.acknowledged.append(acknowledged)
        if len(self.acknowledged) == 3:
            self.polled.set()
        return Ok(WorkerReport(self.lifetime, [], []))

    async def execute_order(self, order: Order, token: int) -> OrderOutcome:
        self.orders.append(order)
        return OrderOutcome.DONE

    async def close(self) -> None:
        return


class OrderAgeTest(TestCase):
    """Orders that are sent some time after the leader decided on them."""

    def _execute(
        self, order: StartOrder | StopOrder, age_s: float
    ) -> tuple[list[Order], list[OrderOutcome]]:
        member = _Member()
        member.now = _DECIDED_AT + age_s
        link = _Link()

        async def run() -> None:
            worker = AssignedWorker(_WORKER, "127.0.0.1:1")
            proxy = WorkerProxy(worker, link, member, RecordingLog())
            proxy.enqueue_order(NumberedOrder(1, order), _DECIDED_AT)
            task = asyncio.create_task(proxy.run())
            async with asyncio.timeout(5.0):
                await member.order_answered.wait()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        asyncio.run(run())
        return link.orders, member.outcomes

    def test_old_start_is_not_sent(self) -> None:
        """Guards against a start long after its workflow was cancelled.

        Starts wait behind the orders of a worker that does not answer, and
        in the connection between leader and member.
        """
        start = StartOrder(_WORKER, _REF, 1, "text")
        self.assertEqual(
            ([], [OrderOutcome.NOT_SENT]), self._execute(start, 2.5)
        )

    def test_start_with_the_timestamp_of_a_replaced_vm_is_not_sent(
        self,
    ) -> None:
        """Guards against a start that never expires.

        The leader may send it with the timestamp of the VM that this one
        replaced, whose clock was higher.
        """
        start = StartOrder(_WORKER, _REF, 1, "text")
        self.assertEqual(
            ([], [OrderOutcome.NOT_SENT]), self._execute(start, -50.0)
        )

    def test_recent_start_is_sent(self) -> None:
        """Guards against a limit that refuses starts without a delay."""
        start = StartOrder(_WORKER, _REF, 1, "text")
        self.assertEqual(
            ([start], [OrderOutcome.DONE]), self._execute(start, 1.5)
        )

    def test_old_stop_is_sent(self) -> None:
        """Guards against a run that goes on because its stop expired."""
        stop = StopOrder(_WORKER, _REF, 1)
        self.assertEqual(
            ([stop], [OrderOutcome.DONE]), self._execute(stop, 60.0)
        )


class AcknowledgementTest(TestCase):
    """Ends that a worker may forget."""

    def test_ends_of_a_later_lifetime_are_not_acknowledged(self) -> None:
        """Guards against ends that a worker forgets before they are stored.

        A restarted worker answers at the same address and numbers its ends
        from 1 again.
        """
        link = _Link()
        link.lifetime = WorkerKey("w1", 2)

        async def run() -> None:
            worker = AssignedWorker(_WORKER, "127.0.0.1:1")
            proxy = WorkerProxy(worker, link, _Member(), RecordingLog())
            proxy.acknowledge(57)
            task = asyncio.create_task(proxy.run())
            async with asyncio.timeout(5.0):
                await link.polled.wait()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        asyncio.run(run())
        # The restart shows only in the first answer.
        self.assertEqual([57, 0, 0], link.acknowledged[:3])
