"""Calls to one worker on behalf of the leader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err

from carawaystep.cluster.messages import OrderResult
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
_REPORT_LONG_POLL_S = 0.7
# A lease is extended only for so long after the worker's last answer, so
# that the leader can tell when the runs on a silent worker have ended.
LEASE_EXTENSION_WINDOW_S = 1.0
_ACKNOWLEDGE_TIMEOUT_S = 0.5
_REPORT_RETRY_INTERVAL_S = 0.1
# Ends that come close together travel in one report.
_BATCH_WINDOW_S = 0.02
_MAX_CONCURRENT_ORDERS = 3
# The planner needs two reports after a stop to tell that a run never started.
_PROMPT_REPORTS_AFTER_STOP = 2
_FIRST_REPORT_TIMEOUT_S = 0.5


class WorkerProxy:
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
        self._acknowledged_end = 0
        self._acknowledgement_received = asyncio.Event()
        self._first_report_received = asyncio.Event()
        self._orders: asyncio.Queue[NumberedOrder] = asyncio.Queue()
        self._answered_at = 0.0
        self._prompt_reports_left = 0

    def acknowledge(self, number: int) -> None:
        """Note that ends up to a number are stored."""
        self._acknowledged_end = max(self._acknowledged_end, number)
        self._acknowledgement_received.set()

    def enqueue_order(self, order: NumberedOrder) -> None:
        """Queue an order."""
        self._orders.put_nowait(order)

    async def run(self) -> None:
        """Call the worker until the task is cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._poll_reports())
                for _ in range(_MAX_CONCURRENT_ORDERS):
                    group.create_task(self._execute_orders())
        finally:
            await self._link.close()

    async def _poll_reports(self) -> None:
        while True:
            if not self._context.holds_grant(self._term):
                await asyncio.sleep(_REPORT_RETRY_INTERVAL_S)
                continue
            now = self._context.now
            answered_recently = (
                now - self._answered_at < LEASE_EXTENSION_WINDOW_S
            )
            prompt = (
                not self._first_report_received.is_set()
                or self._prompt_reports_left > 0
            )
            self._prompt_reports_left = max(0, self._prompt_reports_left - 1)
            result = await self._link.hold(
                self._term,
                self._acknowledged_end,
                answered_recently,
                0.0
                if prompt or not answered_recently
                else _REPORT_LONG_POLL_S,
            )
            if isinstance(result, Err):
                await self._handle_link_failure(result.err_value)
                continue
            report = result.ok_value
            self._answered_at = self._context.now
            self._first_report_received.set()
            self._acknowledgement_received.clear()
            await self._context.send(Report(self._term, report))
            if report.ended:
                await self._wait_until_acknowledged(report.ended[-1].number)
            await asyncio.sleep(_BATCH_WINDOW_S)

    async def _handle_link_failure(self, failure: LinkFailure) -> None:
        if failure.fenced or failure.other_lifetime:
            await self._context.send(
                Superseded(self._term, self._worker.key, failure.fenced)
            )
        await asyncio.sleep(_REPORT_RETRY_INTERVAL_S)

    async def _wait_until_acknowledged(self, number: int) -> None:
        """Wait until ends are stored; the worker would repeat them."""
        try:
            async with asyncio.timeout(_ACKNOWLEDGE_TIMEOUT_S):
                while self._acknowledged_end < number:
                    self._acknowledgement_received.clear()
                    await self._acknowledgement_received.wait()
        except TimeoutError:
            return

    async def _execute_orders(self) -> None:
        while True:
            item = await self._orders.get()
            outcome = await self._execute_order(item)
            await self._context.send(
                OrderResult(self._term, item.number, outcome)
            )

    async def _execute_order(self, item: NumberedOrder) -> OrderOutcome:
        try:
            async with asyncio.timeout(_FIRST_REPORT_TIMEOUT_S):
                await self._first_report_received.wait()
        except TimeoutError:
            return OrderOutcome.NOT_SENT
        if not self._context.holds_grant(self._term):
            return OrderOutcome.NOT_SENT
        outcome = await self._link.carry_out(item.order, self._term)
        if isinstance(item.order, StopOrder):
            self._prompt_reports_left = _PROMPT_REPORTS_AFTER_STOP
        return outcome
