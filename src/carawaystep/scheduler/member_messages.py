"""The leader's handling of messages from members during one term."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.cluster.messages import AdviceReply
from carawaystep.cluster.messages import CallReply
from carawaystep.cluster.messages import Cancel
from carawaystep.cluster.messages import LeaseAges
from carawaystep.cluster.messages import OrderResult
from carawaystep.cluster.messages import QueryState
from carawaystep.cluster.messages import Report
from carawaystep.cluster.messages import ReportPollRejected
from carawaystep.cluster.messages import Submit

if TYPE_CHECKING:
    import asyncio

    from carawaystep.cluster.messages import Message
    from carawaystep.planner.planner import Planner
    from carawaystep.scheduler.advice_dispatcher import AdviceDispatcher
    from carawaystep.scheduler.leader_context import LeaderContext
    from carawaystep.scheduler.member_calls import MemberCalls
    from carawaystep.scheduler.member_session import MemberSession
    from carawaystep.scheduler.order_dispatcher import OrderDispatcher
    from carawaystep.scheduler.worker_assignments import WorkerAssignments


class MemberMessages:
    """Passes messages on to the part of the leader that they concern.

    Reports, results and answers of another term are ignored.
    """

    def __init__(
        self,
        context: LeaderContext,
        planner: Planner,
        assignments: WorkerAssignments,
        order_dispatcher: OrderDispatcher,
        advice_dispatcher: AdviceDispatcher,
        calls: MemberCalls,
        plan_requested: asyncio.Event,
    ) -> None:
        """Create the handler of a term whose stored state is not read yet.

        :param context: the leader's term
        :param planner: receives reports and answers of the placement service
        :param assignments: receives the ages of leases
        :param order_dispatcher: receives the results of orders
        :param advice_dispatcher: hears which members have answered
        :param calls: answers calls on behalf of callers
        :param plan_requested: set when the planner has to plan again
        """
        self._context = context
        self._planner = planner
        self._assignments = assignments
        self._order_dispatcher = order_dispatcher
        self._advice_dispatcher = advice_dispatcher
        self._calls = calls
        self._plan_requested = plan_requested
        self._all_admitted = False

    def admit_all(self) -> None:
        """Handle all messages from now on, as the stored state is read.

        Until then, calls are answered with "not stored", so that the member
        uses the store itself, and of the others only the ages of leases are
        recorded.
        """
        self._all_admitted = True

    async def handle(
        self, session: MemberSession, message: Message, now: float
    ) -> None:
        """Handle a message.

        :param now: current time in seconds, monotonic
        """
        if isinstance(message, LeaseAges):
            if message.term == self._context.term:
                self._assignments.record_lease_ages(
                    session.record.address, message, now
                )
        elif isinstance(message, Submit | Cancel | QueryState):
            await self._answer_call(session, message, now)
        elif not self._all_admitted:
            return
        elif isinstance(message, AdviceReply):
            self._handle_advice(session, message, now)
        elif isinstance(message, ReportPollRejected):
            if message.fenced:
                self._context.request_term_check()
        elif isinstance(message, Report | OrderResult):
            self._handle_result(message, now)

    async def _answer_call(
        self,
        session: MemberSession,
        message: Submit | Cancel | QueryState,
        now: float,
    ) -> None:
        if not self._all_admitted:
            await session.send(CallReply(message.call, False))
        elif isinstance(message, Submit):
            await self._calls.submit(session, message, now)
        elif isinstance(message, Cancel):
            await self._calls.cancel(session, message)
        else:
            await self._calls.query(session, message)

    def _handle_advice(
        self, session: MemberSession, message: AdviceReply, now: float
    ) -> None:
        self._advice_dispatcher.record_answer(session.record.name)
        if message.term != self._context.term:
            return
        self._planner.handle_advice(message.request, message.tickets, now)
        self._plan_requested.set()

    def _handle_result(
        self, message: Report | OrderResult, now: float
    ) -> None:
        if message.term != self._context.term:
            return
        if isinstance(message, OrderResult):
            self._order_dispatcher.apply_result(
                message.number, message.outcome, now
            )
            return
        self._planner.handle_report(message.report, now, message.fenced)
        self._plan_requested.set()
