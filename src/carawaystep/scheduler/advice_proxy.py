"""Requests to the placement service on behalf of the leader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Ok

from carawaystep.cluster.messages import AdviceReply

if TYPE_CHECKING:
    from carawaystep.cluster.messages import ForwardedAdviceRequest
    from carawaystep.fleet.placement_advisor import PlacementAdvisor
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.scheduler.member_context import MemberContext

# Requests beyond this number are answered without tickets; the leader repeats
# them.
_MAX_QUEUED_REQUESTS = 64


class AdviceProxy:
    """Sends the leader's advice requests to the placement service.

    Requests are sent one at a time, because the service accepts only one
    open request from each machine.
    """

    def __init__(
        self,
        advisor: PlacementAdvisor,
        context: MemberContext,
        log: DecisionLog,
    ) -> None:
        """Create a proxy with an empty queue.

        :param advisor: the placement service
        :param context: term of the member and its connection to the leader
        :param log: receives an event for each failed request
        """
        self._advisor = advisor
        self._context = context
        self._log = log
        self._queue: asyncio.Queue[ForwardedAdviceRequest] = asyncio.Queue(
            _MAX_QUEUED_REQUESTS
        )

    async def enqueue(self, message: ForwardedAdviceRequest) -> None:
        """Queue a request, or answer it without tickets if the queue is full.

        :param message: request that the leader forwarded
        """
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            await self._context.send(
                AdviceReply(message.term, message.request, None)
            )

    async def run(self) -> None:
        """Process the queue until the task is cancelled.

        Requests of an earlier term are dropped.
        """
        while True:
            message = await self._queue.get()
            if message.term != self._context.term:
                continue
            answer = await self._advisor.ask(message.request)
            tickets = None
            if isinstance(answer, Ok):
                tickets = answer.ok_value
            else:
                self._log.line(
                    "advice.failed",
                    message.request.step_name,
                    detail=answer.err_value,
                )
            await self._context.send(
                AdviceReply(message.term, message.request, tickets)
            )
