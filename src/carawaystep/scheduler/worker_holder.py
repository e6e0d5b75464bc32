"""Calls to one worker on behalf of the leader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err

from carawaystep.cluster.messages import Concluded
from carawaystep.cluster.messages import Report
from carawaystep.cluster.messages import Superseded
from carawaystep.fleet.order import StopOrder
from carawaystep.fleet.order_outcome import OrderOutcome

if TYPE_CHECKING:
    from carawaystep.cluster.messages import AssignedWorker
    from carawaystep.cluster.messages import NumberedOrder
    from carawaystep.fleet.link_failure import LinkFailure
    from carawaystep.fleet.worker_link import WorkerLink
    from carawaystep.scheduler.member_context import MemberContext

# How long a worker may wait for an end; reports of progress come as often.
_WAIT_S = 0.7
# A lease is extended only for so long after the worker's last answer, so
# that the leader can tell when the runs on a silent worker have ended.
EXTEND_AFTER_ANSWER_S = 1.0
_ACKNOWLEDGE_S = 0.5
_PAUSE_S = 0.1
# Ends that come close together travel in one report.
_GATHER_S = 0.02
_ORDER_TASKS = 3
# The planner needs two reports after a stop to tell that a run never started.
_REPORTS_AFTER_STOP = 2
_READY_S = 0.5


class WorkerHolder:
    """One task that holds the worker, and a few that carry out orders."""

    def __init__(
        self, worker: AssignedWorker, link: WorkerLink, context: MemberContext
    ) -> None:
        """Create a holder that has called nobody.

        :param worker: lifetime and address
        :param link: calls to it
        :param context: term and connection of the member
        """
        self._worker = worker
        self._link = link
        self._context = context
        self._term = context.term
        self._acknowledged = 0
        self._progress = asyncio.Event()
        self._ready = asyncio.Event()
        self._orders: asyncio.Queue[NumberedOrder] = asyncio.Queue()
        self._answered_at = 0.0
        self._prompt_reports = 0

    def acknowledge(self, number: int) -> None:
        """Note that ends up to a number are stored."""
        self._acknowledged = max(self._acknowledged, number)
        self._progress.set()

    def order(self, order: NumberedOrder) -> None:
        """Queue an order."""
        self._orders.put_nowait(order)

    async def run(self) -> None:
        """Call the worker until the task is cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._hold())
                for _ in range(_ORDER_TASKS):
                    group.create_task(self._carry_out())
        finally:
            await self._link.close()

    async def _hold(self) -> None:
        while True:
            if not self._context.may_act(self._term):
                await asyncio.sleep(_PAUSE_S)
                continue
            now = self._context.now
            recent = now - self._answered_at < EXTEND_AFTER_ANSWER_S
            prompt = not self._ready.is_set() or self._prompt_reports > 0
            self._prompt_reports = max(0, self._prompt_reports - 1)
            result = await self._link.fetch_report(
                self._term,
                self._acknowledged,
                recent,
                0.0 if prompt or not recent else _WAIT_S,
            )
            if isinstance(result, Err):
                await self._fail(result.err_value)
                continue
            report = result.ok_value
            self._answered_at = self._context.now
            self._ready.set()
            self._progress.clear()
            await self._context.send(Report(self._term, report))
            if report.ended:
                await self._wait_until(report.ended[-1].number)
            await asyncio.sleep(_GATHER_S)

    async def _fail(self, failure: LinkFailure) -> None:
        if failure.fenced or failure.other_lifetime:
            await self._context.send(
                Superseded(self._term, self._worker.key, failure.fenced)
            )
        await asyncio.sleep(_PAUSE_S)

    async def _wait_until(self, number: int) -> None:
        """Wait until ends are stored; the worker would repeat them."""
        try:
            async with asyncio.timeout(_ACKNOWLEDGE_S):
                while self._acknowledged < number:
                    self._progress.clear()
                    await self._progress.wait()
        except TimeoutError:
            return

    async def _carry_out(self) -> None:
        while True:
            item = await self._orders.get()
            outcome = await self._outcome(item)
            await self._context.send(
                Concluded(self._term, item.number, outcome)
            )

    async def _outcome(self, item: NumberedOrder) -> OrderOutcome:
        try:
            async with asyncio.timeout(_READY_S):
                await self._ready.wait()
        except TimeoutError:
            return OrderOutcome.NOT_SENT
        if not self._context.may_act(self._term):
            return OrderOutcome.NOT_SENT
        outcome = await self._link.execute_order(item.order, self._term)
        if isinstance(item.order, StopOrder):
            self._prompt_reports = _REPORTS_AFTER_STOP
        return outcome
