"""Tests of orders that wait at a member."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from testtools import TestCase

from carawaystep.availability_zone.evacuated_zones import EvacuatedZones
from carawaystep.availability_zone.evacuation_request import EvacuationRequest
from carawaystep.cluster.messages import AssignedWorker
from carawaystep.cluster.messages import NumberedOrder
from carawaystep.cluster.messages import OrderResult
from carawaystep.entry.clock import Clock
from carawaystep.fleet.link_failure import LinkFailure
from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.order import StopOrder
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.fleet.worker_link import WorkerLink
from carawaystep.fleet.worker_report import WorkerReport
from carawaystep.leadership.leadership import GRANT_S
from carawaystep.scheduler.lease_extensions import LeaseExtensions
from carawaystep.scheduler.member_context import MemberContext
from carawaystep.scheduler.worker_proxy import WorkerProxy
from carawaystep.workflow.task_ref import TaskRef
from tests.planner.planners import RecordingLog

if TYPE_CHECKING:
    from result import Result

    from carawaystep.cluster.messages import FromMember
    from carawaystep.fleet.order import Order

_TERM = 5
_WORKER = WorkerKey("w1", 1)
_REF = TaskRef("a" * 16, 0, 0, 0)
_DECIDED_AT = 100.0


class _Clock(Clock):
    """Returns a settable time."""

    def __init__(self) -> None:
        self.time = _DECIDED_AT

    def now(self) -> float:
        return self.time

    def wall_now(self) -> float:
        return self.time


class _Member(MemberContext):
    """Has a settable clock and records the messages to the leader."""

    term = _TERM
    granted = True

    def __init__(self) -> None:
        self.clock = _Clock()
        self._lease_extensions = LeaseExtensions(self.clock)
        self.outcomes: list[OrderOutcome] = []
        self.order_answered = asyncio.Event()
        self.zones = EvacuatedZones()
        self.zones.adopt([], 1, is_complete=True, now=_DECIDED_AT)

    @property
    def now(self) -> float:
        return self.clock.now()

    @property
    def lease_extensions(self) -> LeaseExtensions:
        return self._lease_extensions

    @property
    def evacuated_zones(self) -> EvacuatedZones:
        return self.zones

    def holds_grant(self, term: int) -> bool:
        return self.granted

    async def send(self, message: FromMember) -> bool:
        if isinstance(message, OrderResult):
            self.outcomes.append(message.outcome)
            self.order_answered.set()
        return True


class _Link(WorkerLink):
    """Records the orders that reach the worker.

    :ivar silent: whether the worker does not answer calls for reports
    """

    def __init__(self, worker: WorkerKey = _WORKER) -> None:
        """Create a link to a worker.

        :param worker: lifetime of the worker that answers
        """
        self._worker = worker
        self.orders: list[Order] = []
        self.acknowledged: list[int] = []
        self.extensions: list[bool] = []
        self.polled = asyncio.Event()
        self.polled_again = asyncio.Event()
        self.silent = False

    def lease_deadline_ms(self) -> int | None:
        return 6000

    async def fetch_report(
        self, token: int, acknowledged: int, extend_lease: bool, wait_s: float
    ) -> Result[WorkerReport, LinkFailure]:
        self.acknowledged.append(acknowledged)
        self.extensions.append(extend_lease)
        self.polled.set()
        if len(self.acknowledged) > 1:
            self.polled_again.set()
        await asyncio.sleep(0)
        if self.silent:
            return Err(LinkFailure("no answer"))
        return Ok(WorkerReport(self._worker, [], []))

    async def wait_for_polls(self, count: int) -> None:
        while len(self.acknowledged) < count:
            self.polled.clear()
            await self.polled.wait()

    async def execute_order(self, order: Order, token: int) -> OrderOutcome:
        self.orders.append(order)
        return OrderOutcome.DONE

    async def close(self) -> None:
        return


def _execute(
    order: StartOrder | StopOrder,
    age_s: float = 0.0,
    zones: EvacuatedZones | None = None,
) -> tuple[list[Order], list[OrderOutcome]]:
    """Let a proxy of a worker in the zone ``north`` execute one order.

    :param age_s: seconds since the leader decided on it
    :param zones: what the member knows of evacuated zones, by default none
    """
    member = _Member()
    member.clock.time = _DECIDED_AT + age_s
    member.zones = zones or member.zones
    link = _Link()

    async def run() -> None:
        worker = AssignedWorker(_WORKER, "127.0.0.1:1", 0, "north")
        proxy = WorkerProxy(worker, link, member, RecordingLog())
        proxy.enqueue_order(NumberedOrder(1, order), _DECIDED_AT)
        task = asyncio.create_task(proxy.run())
        async with asyncio.timeout(5.0):
            await member.order_answered.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(run())
    return link.orders, member.outcomes


class OrderAgeTest(TestCase):
    """Orders that are sent some time after the leader decided on them."""

    def test_old_start_is_not_sent(self) -> None:
        """Guards against a start long after its workflow was cancelled.

        Starts wait behind the orders of a worker that does not answer, and
        in the connection between leader and member.
        """
        start = StartOrder(_WORKER, _REF, 1, "text")
        self.assertEqual(([], [OrderOutcome.NOT_SENT]), _execute(start, 2.5))

    def test_start_with_the_timestamp_of_a_replaced_vm_is_not_sent(
        self,
    ) -> None:
        """Guards against a start that never expires.

        The leader may send it with the timestamp of the VM that this one
        replaced, whose clock was higher.
        """
        start = StartOrder(_WORKER, _REF, 1, "text")
        self.assertEqual(([], [OrderOutcome.NOT_SENT]), _execute(start, -50.0))

    def test_recent_start_is_sent(self) -> None:
        """Guards against a limit that refuses starts without a delay."""
        start = StartOrder(_WORKER, _REF, 1, "text")
        self.assertEqual(([start], [OrderOutcome.DONE]), _execute(start, 1.5))

    def test_old_stop_is_sent(self) -> None:
        """Guards against a run that goes on because its stop expired."""
        stop = StopOrder(_WORKER, _REF, 1)
        self.assertEqual(([stop], [OrderOutcome.DONE]), _execute(stop, 60.0))


class EvacuatedZoneTest(TestCase):
    """Orders for a worker whose availability zone is evacuated."""

    def test_start_of_a_leader_that_does_not_know_is_refused(self) -> None:
        """Guards against starts of a cut-off leader, or out of a queue."""
        zones = EvacuatedZones()
        start = StartOrder(_WORKER, _REF, 1, "text")
        refused: object = ([], [OrderOutcome.EVACUATED])
        self.assertEqual(refused, _execute(start, zones=zones))
        zones.adopt([EvacuationRequest("north", 3)], 3, True, 1.0)
        self.assertEqual(refused, _execute(start, zones=zones))
        self.assertTrue(OrderOutcome.EVACUATED.not_executed)
        zones.adopt([EvacuationRequest("south", 4)], 4, True, 2.0)
        self.assertEqual(
            ([start], [OrderOutcome.DONE]), _execute(start, zones=zones)
        )

    def test_stop_is_sent(self) -> None:
        """Guards against runs in the zone that cannot be cancelled."""
        zones = EvacuatedZones()
        zones.adopt([EvacuationRequest("north", 3)], 3, True, 1.0)
        stop = StopOrder(_WORKER, _REF, 1)
        self.assertEqual(
            ([stop], [OrderOutcome.DONE]), _execute(stop, zones=zones)
        )


class ReplacedLifetimeTest(TestCase):
    """A worker that has started again under its id.

    Its calls name the id, which both lifetimes have.
    """

    def _run(
        self, worker: WorkerKey, order: StartOrder | StopOrder
    ) -> tuple[_Link, list[OrderOutcome]]:
        """Execute an order once the worker has answered twice.

        :param worker: lifetime of the worker that answers
        """
        member = _Member()
        link = _Link(worker)

        async def run() -> None:
            assigned = AssignedWorker(_WORKER, "127.0.0.1:1")
            proxy = WorkerProxy(assigned, link, member, RecordingLog())
            proxy.acknowledge(57)
            task = asyncio.create_task(proxy.run())
            async with asyncio.timeout(5.0):
                await link.polled_again.wait()
                proxy.enqueue_order(NumberedOrder(1, order), _DECIDED_AT)
                await member.order_answered.wait()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        asyncio.run(run())
        return link, member.outcomes

    def test_order_for_an_earlier_lifetime_is_not_sent(self) -> None:
        """Guards against a run that the leader has already requeued.

        It drops all runs of the earlier lifetime with the first report of
        the later one.
        """
        link, outcomes = self._run(
            WorkerKey("w1", 2), StartOrder(_WORKER, _REF, 1, "text")
        )
        self.assertEqual(
            ([], [OrderOutcome.OTHER_LIFETIME]), (link.orders, outcomes)
        )

    def test_ends_of_a_later_lifetime_are_not_acknowledged(self) -> None:
        """Guards against ends that are forgotten before they are stored.

        Each lifetime numbers them from 1.
        """
        link, _ = self._run(WorkerKey("w1", 2), StopOrder(_WORKER, _REF, 1))
        self.assertEqual((57, {0}), (link.acknowledged[0], _later(link)))
        self.assertFalse(any(link.extensions))

    def test_call_after_a_failed_one_acknowledges_nothing(self) -> None:
        """Guards against ends that are forgotten before they are stored.

        The worker may have started again meanwhile: its new lifetime would
        forget its ends up to a number of the earlier one.
        """
        link = _Link()

        async def run() -> None:
            assigned = AssignedWorker(_WORKER, "127.0.0.1:1")
            proxy = WorkerProxy(assigned, link, _Member(), RecordingLog())
            proxy.acknowledge(57)
            task = asyncio.create_task(proxy.run())
            async with asyncio.timeout(5.0):
                await link.polled_again.wait()
                link.silent = True
                calls = len(link.acknowledged)
                await link.wait_for_polls(calls + 2)
                link.silent = False
                await link.wait_for_polls(calls + 4)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        asyncio.run(run())
        first_zero = link.acknowledged.index(0)
        self.assertEqual({57}, set(link.acknowledged[:first_zero]))
        self.assertIn(57, link.acknowledged[first_zero:])

    def test_expected_lifetime_is_served(self) -> None:
        """Guards against a worker that is taken for another lifetime."""
        start = StartOrder(_WORKER, _REF, 1, "text")
        link, outcomes = self._run(_WORKER, start)
        self.assertEqual(
            ([start], [OrderOutcome.DONE]), (link.orders, outcomes)
        )
        self.assertEqual({57}, set(link.acknowledged))
        self.assertTrue(all(link.extensions[1:]))


class SilentWorkerTest(TestCase):
    """Starts for a worker whose answers no longer arrive."""

    def _start_after_silence(
        self, silence_s: float
    ) -> tuple[list[Order], list[OrderOutcome]]:
        member = _Member()
        link = _Link()
        start = StartOrder(_WORKER, _REF, 1, "text")

        async def run() -> None:
            worker = AssignedWorker(_WORKER, "127.0.0.1:1")
            proxy = WorkerProxy(worker, link, member, RecordingLog())
            task = asyncio.create_task(proxy.run())
            await asyncio.sleep(0.05)
            link.silent = True
            await asyncio.sleep(0.15)
            member.clock.time += silence_s
            proxy.enqueue_order(NumberedOrder(1, start), member.now)
            async with asyncio.timeout(5.0):
                await member.order_answered.wait()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        asyncio.run(run())
        return link.orders, member.outcomes

    def test_start_is_not_sent_long_after_the_last_report(self) -> None:
        """Guards against a lease that a start extends unnoticed.

        The start may be carried out although its answer is lost. The leader
        counts from the last report until the runs on a silent worker end.
        """
        orders, outcomes = self._start_after_silence(GRANT_S + 0.1)
        self.assertEqual([], orders)
        self.assertEqual([OrderOutcome.NOT_SENT], outcomes)

    def test_start_is_sent_soon_after_the_last_report(self) -> None:
        """Guards against refused starts between two reports of a worker."""
        orders, outcomes = self._start_after_silence(GRANT_S - 0.1)
        self.assertEqual(1, len(orders))
        self.assertEqual([OrderOutcome.DONE], outcomes)


def _later(link: _Link) -> set[int]:
    """Return what all polls but the first have acknowledged."""
    return set(link.acknowledged[1:])


class GrantTest(TestCase):
    """Orders of a member whose grant has ended."""

    def test_waiting_order_is_not_sent_without_a_grant(self) -> None:
        """Guards against a paused member that acts on an old permission.

        Another member may call the worker by then.
        """

        async def run() -> tuple[_Member, _Link]:
            member = _Member()
            link = _Link()
            proxy = WorkerProxy(
                AssignedWorker(_WORKER, "127.0.0.1:1"),
                link,
                member,
                RecordingLog(),
            )
            task = asyncio.create_task(proxy.run())
            await link.polled_again.wait()
            member.granted = False
            order = StartOrder(_WORKER, _REF, 1, "", "", "")
            proxy.enqueue_order(NumberedOrder(1, order), None)
            async with asyncio.timeout(2.0):
                await member.order_answered.wait()
            task.cancel()
            await asyncio.wait([task])
            return member, link

        member, link = asyncio.run(run())
        self.assertEqual([OrderOutcome.NOT_SENT], member.outcomes)
        self.assertEqual([], link.orders)


class LeaseExtensionTest(TestCase):
    """Calls that extend the lease of a worker."""

    def test_reports_and_starts_are_recorded_as_extensions(self) -> None:
        """Guards against a new leader that is told of too few leases.

        A start extends the lease too, even if the worker refuses it.
        """
        for order, recorded in (
            (None, False),
            (StopOrder(_WORKER, _REF, 1), False),
            (StartOrder(_WORKER, _REF, 1, "text"), True),
        ):
            self.assertEqual(
                recorded, self._is_recorded(order, polls=1), str(order)
            )
        self.assertTrue(self._is_recorded(None, polls=2))

    def _is_recorded(
        self, order: StartOrder | StopOrder | None, polls: int
    ) -> bool:
        """Tell whether an extension is recorded after an order or polls.

        The first poll extends no lease.
        """
        member = _Member()
        link = _Link()

        async def run() -> None:
            worker = AssignedWorker(_WORKER, "127.0.0.1:1")
            proxy = WorkerProxy(worker, link, member, RecordingLog())
            task = asyncio.create_task(proxy.run())
            if order is not None:
                proxy.enqueue_order(NumberedOrder(1, order), _DECIDED_AT)
                await member.order_answered.wait()
            await link.wait_for_polls(polls)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        asyncio.run(run())
        return _WORKER.id in member.lease_extensions.ages_s(member.now)
