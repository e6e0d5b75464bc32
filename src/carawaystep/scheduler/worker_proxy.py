"""A member's calls to one worker on behalf of the leader."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from contextlib import nullcontext
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err

from carawaystep.cluster.messages import OrderResult
from carawaystep.cluster.messages import Report
from carawaystep.cluster.messages import ReportPollRejected
from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.order import StopOrder
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.leadership.leadership import GRANT_S

if TYPE_CHECKING:
    from collections.abc import Iterator

    from result import Result

    from carawaystep.cluster.messages import AssignedWorker
    from carawaystep.cluster.messages import NumberedOrder
    from carawaystep.fleet.link_failure import LinkFailure
    from carawaystep.fleet.worker_link import WorkerLink
    from carawaystep.fleet.worker_report import WorkerReport
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.scheduler.member_context import MemberContext

# How long a worker may wait for a run to end before it reports. Progress is
# reported at this interval too.
_REPORT_LONG_POLL_S = 0.7
# Leases are extended only for this long after the worker's last answer, so
# that the leader knows by when the runs on an unreachable worker have ended.
# LeaderTerm allows GRANT_S for it, which this must not exceed.
_LEASE_EXTENSION_WINDOW_S = 1.0
# A start extends the lease too, even if the worker refuses it.
_START_WINDOW_S = GRANT_S
_ACKNOWLEDGE_TIMEOUT_S = 0.5
_REPORT_RETRY_INTERVAL_S = 0.1
# Run ends within this window are collected in one report.
_BATCH_WINDOW_S = 0.02
_MAX_CONCURRENT_ORDERS = 3
# After a stop, the planner needs two reports without the run to conclude that
# it never started; these are fetched without waiting.
_PROMPT_REPORTS_AFTER_STOP = 2
# Orders wait for the first report: the deadline of a start is a time of the
# worker's clock, which is known only from a report.
_FIRST_REPORT_TIMEOUT_S = 0.5
# The workflow of an older start may have been cancelled meanwhile.
_START_VALIDITY_S = 2.0


@dataclass(frozen=True, slots=True)
class _QueuedOrder:
    """An order that waits to be sent.

    :param numbered: the order and its number
    :param decided_at: time of the member's clock before which the leader
        did not decide on it, None if unknown
    """

    numbered: NumberedOrder
    decided_at: float | None


class WorkerProxy:
    """Forwards a worker's reports to the leader, and orders to the worker.

    One task polls for reports and extends the leases; a few others send the
    leader's orders. Both require a valid grant of the leader.
    """

    def __init__(
        self,
        worker: AssignedWorker,
        link: WorkerLink,
        context: MemberContext,
        log: DecisionLog,
    ) -> None:
        """Create a proxy; the worker is not called yet.

        :param worker: lifetime and address of the worker
        :param link: link to the worker
        :param context: clock, term and grant of the member
        :param log: receives a line for each start, and for each change of
            whether the worker answers
        """
        self._log = log
        self._worker = worker
        self._link = link
        self._context = context
        self._term = context.term
        self._token = worker.token or context.term
        self._acknowledged_end = 0
        self._acknowledgement_received = asyncio.Event()
        self._first_report_received = asyncio.Event()
        self._orders: asyncio.Queue[_QueuedOrder] = asyncio.Queue()
        self._opened_at = context.now
        # When the last call that extended the lease ended, 0 before one.
        self._extended_at = 0.0
        self._answered_at = 0.0
        # Whether another lifetime of the worker sent the last report. Calls
        # name the worker's id, which a later lifetime may have too.
        self._replaced = False
        self._last_poll_failed = False
        self._prompt_reports_left = 0

    def acknowledge(self, number: int) -> None:
        """Record that all run ends up to a number are stored."""
        self._acknowledged_end = max(self._acknowledged_end, number)
        self._acknowledgement_received.set()

    def enqueue_order(
        self, order: NumberedOrder, decided_at: float | None
    ) -> None:
        """Queue an order of the leader.

        :param decided_at: time of the member's clock before which the
            leader did not decide on it; a start is not sent later than
            ``_START_VALIDITY_S`` after it. None if it does not expire.
        """
        self._orders.put_nowait(_QueuedOrder(order, decided_at))

    async def run(self) -> None:
        """Poll for reports and send orders until the task is cancelled."""
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
            answered_recently = self._has_answered_recently()
            prompt = (
                not self._first_report_received.is_set()
                or self._prompt_reports_left > 0
            )
            self._prompt_reports_left = max(0, self._prompt_reports_left - 1)
            wait_s = (
                0.0 if prompt or not answered_recently else _REPORT_LONG_POLL_S
            )
            result = await self._fetch_report(answered_recently, wait_s)
            self._log_contact(result)
            self._last_poll_failed = isinstance(result, Err)
            if isinstance(result, Err):
                await self._handle_link_failure(result.err_value)
                continue
            report = result.ok_value
            self._answered_at = self._context.now
            self._replaced = report.worker != self._worker.key
            self._first_report_received.set()
            self._acknowledgement_received.clear()
            await self._context.send(
                Report(self._term, report, not self._replaced)
            )
            if report.ended:
                await self._wait_until_acknowledged(report.ended[-1].number)
            await asyncio.sleep(_BATCH_WINDOW_S)

    async def _fetch_report(
        self, extend_lease: bool, wait_s: float
    ) -> Result[WorkerReport, LinkFailure]:
        # After a failed call the worker may have started again, and its new
        # lifetime numbers its ends from 1.
        may_be_replaced = self._last_poll_failed or self._replaced
        acknowledged = 0 if may_be_replaced else self._acknowledged_end
        with self._extension() if extend_lease else nullcontext():
            return await self._link.fetch_report(
                self._token, acknowledged, extend_lease, wait_s
            )

    def _log_contact(self, result: Result[WorkerReport, LinkFailure]) -> None:
        """Log that the worker is silent, answers again or has restarted."""
        now = self._context.now
        silent_s = now - max(self._answered_at, self._opened_at)
        if isinstance(result, Err):
            if not self._last_poll_failed:
                extended_at = self._extended_at
                self._log_worker(
                    "worker.silent",
                    silent_s=silent_s,
                    extension_age_s=now - extended_at if extended_at else -1.0,
                    detail=result.err_value.detail,
                )
            return
        if self._last_poll_failed:
            self._log_worker("worker.answered", silent_s=silent_s)
        born = result.ok_value.worker.started_at_ms
        if born != self._worker.key.started_at_ms and not self._replaced:
            self._log_worker(
                "worker.replaced", silent_s=silent_s, later_born=born
            )

    def _log_worker(self, event: str, **inputs: str | int | float) -> None:
        key = self._worker.key
        self._log.line(event, key.id, born=key.started_at_ms, **inputs)

    @contextmanager
    def _extension(self) -> Iterator[None]:
        """Enclose a call that extends the lease."""
        try:
            with self._context.lease_extensions.call(self._worker.key.id):
                yield
        finally:
            self._extended_at = self._context.now

    def _has_answered_recently(self) -> bool:
        """Tell whether the worker's leases may be extended."""
        silent_s = self._context.now - self._answered_at
        return not self._replaced and silent_s < _LEASE_EXTENSION_WINDOW_S

    async def _handle_link_failure(self, failure: LinkFailure) -> None:
        if failure.fenced or failure.other_lifetime:
            await self._context.send(
                ReportPollRejected(
                    self._term, self._worker.key, failure.fenced
                )
            )
        await asyncio.sleep(_REPORT_RETRY_INTERVAL_S)

    async def _wait_until_acknowledged(self, number: int) -> None:
        """Wait until the run ends up to a number are stored.

        Until they are acknowledged, the worker reports them again.
        """
        try:
            async with asyncio.timeout(_ACKNOWLEDGE_TIMEOUT_S):
                while self._acknowledged_end < number:
                    self._acknowledgement_received.clear()
                    await self._acknowledgement_received.wait()
        except TimeoutError:
            return

    async def _execute_orders(self) -> None:
        while True:
            queued = await self._orders.get()
            outcome = await self._execute_order(queued)
            await self._context.send(
                OrderResult(self._term, queued.numbered.number, outcome)
            )

    async def _execute_order(self, queued: _QueuedOrder) -> OrderOutcome:
        order = queued.numbered.order
        try:
            async with asyncio.timeout(_FIRST_REPORT_TIMEOUT_S):
                await self._first_report_received.wait()
        except TimeoutError:
            return OrderOutcome.NOT_SENT
        if not self._context.holds_grant(self._term):
            return OrderOutcome.NOT_SENT
        if self._replaced:
            return OrderOutcome.OTHER_LIFETIME
        if isinstance(order, StartOrder):
            obstacle = self._find_obstacle(queued)
            return obstacle or await self._send_start(order)
        outcome = await self._link.execute_order(order, self._token)
        if isinstance(order, StopOrder):
            self._prompt_reports_left = _PROMPT_REPORTS_AFTER_STOP
        return outcome

    async def _send_start(self, order: StartOrder) -> OrderOutcome:
        """Send a start, which extends the lease, and log it."""
        sent_at = self._context.now
        sample_age_s = sent_at - self._answered_at
        deadline_ms = self._link.lease_deadline_ms() or 0
        # Stays unknown when the leader takes the worker away meanwhile.
        outcome = OrderOutcome.UNKNOWN
        try:
            with self._extension():
                outcome = await self._link.execute_order(order, self._token)
        finally:
            self._log.line(
                "start.tried",
                str(order.ref),
                run=order.run,
                worker=order.worker.id,
                born=order.worker.started_at_ms,
                token=self._token,
                deadline_ms=deadline_ms,
                sample_age_s=sample_age_s,
                outcome=outcome,
                seconds=self._context.now - sent_at,
            )
        return outcome

    def _find_obstacle(self, queued: _QueuedOrder) -> OrderOutcome | None:
        """Return why a start must not be sent now, None if it may be."""
        order = queued.numbered.order
        if self._has_expired(queued):
            self._log.line(
                "start.expired",
                str(order.ref),
                run=order.run,
                worker=order.worker.id,
            )
            return OrderOutcome.NOT_SENT
        if self._is_silent:
            return OrderOutcome.NOT_SENT
        zones = self._context.evacuated_zones
        if zones.accepts_work(self._worker.availability_zone):
            return None
        # The leader may not have read the request, or the order has waited.
        self._log.line(
            "start.refused",
            str(order.ref),
            run=order.run,
            worker=order.worker.id,
            zone=self._worker.availability_zone,
            version=zones.revision,
            age_s=zones.age_s(self._context.now),
        )
        return OrderOutcome.EVACUATED

    @property
    def _is_silent(self) -> bool:
        """Tell whether the worker's last report is too old for a start."""
        return self._context.now - self._answered_at > _START_WINDOW_S

    def _has_expired(self, queued: _QueuedOrder) -> bool:
        if queued.decided_at is None:
            return False
        age_s = self._context.now - queued.decided_at
        # A negative age comes from the clock of a VM that was replaced.
        return not 0.0 <= age_s <= _START_VALIDITY_S
