"""Questions to the placement service on behalf of the leader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Ok

from carawaystep.cluster.messages import Consulted

if TYPE_CHECKING:
    from carawaystep.cluster.messages import Consult
    from carawaystep.fleet.placement_advisor import PlacementAdvisor
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.scheduler.member_context import MemberContext

# The leader repeats what it gets no answer to.
_MOST_WAITING = 64


class Consultant:
    """One task; the service takes one question of a machine at a time."""

    def __init__(
        self,
        advisor: PlacementAdvisor,
        context: MemberContext,
        log: DecisionLog,
    ) -> None:
        """Create a consultant that has asked nothing."""
        self._advisor = advisor
        self._context = context
        self._log = log
        self._waiting: asyncio.Queue[Consult] = asyncio.Queue(_MOST_WAITING)

    async def take(self, message: Consult) -> None:
        """Queue a question; one too many is answered at once with none."""
        try:
            self._waiting.put_nowait(message)
        except asyncio.QueueFull:
            await self._context.send(
                Consulted(message.term, message.request, None)
            )

    async def run(self) -> None:
        """Ask one question after another until the task is cancelled."""
        while True:
            message = await self._waiting.get()
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
                Consulted(message.term, message.request, tickets)
            )
