"""Tests of reservations and ownership of a worker."""

from __future__ import annotations

from testtools import ExpectedException
from testtools import TestCase

from carawaystep.errors.broken_invariant import BrokenInvariant
from carawaystep.fleet.vm import Vm
from carawaystep.fleet.vm_state import VmState
from carawaystep.worker.capacity import Capacity
from carawaystep.worker.fence_answer import FenceAnswer
from carawaystep.worker.fencing_guard import FencingGuard
from carawaystep.worker.lease_guard import LeaseGuard
from carawaystep.worker.reservation import Reservation
from carawaystep.worker.resources import Resources
from carawaystep.worker.work_kind import WorkKind
from carawaystep.worker.worker import Worker
from carawaystep.worker.worker_report import WorkerReport

_CAPACITY = Capacity(Resources(4.0, 1000, 1), slots=3, connections=8)


def _reservation(name: str, cpu: float = 1.0) -> Reservation:
    return Reservation(name, WorkKind.REQUEST, 0, Resources(cpu, 100))


def _worker(running: tuple[Reservation, ...] = ()) -> Worker:
    vm = Vm("w1", "arima", "r1", "http://127.0.0.1:1", VmState.LIVE)
    guard = FencingGuard(1)
    worker = Worker(vm, guard)
    worker.begin_fence()
    worker.inherit(_answer(running), 0.0)
    return worker


def _answer(
    running: tuple[Reservation, ...], clock_s: float = 10.0
) -> FenceAnswer:
    return FenceAnswer(1, True, False, _CAPACITY, running, 0, clock_s)


def _report(running: set[str], clock_s: float) -> WorkerReport:
    return WorkerReport(0, False, frozenset(running), (), clock_s)


class WorkerTest(TestCase):
    """Reservations within the capacity, fences and reports."""

    def test_slots_are_a_hard_limit(self) -> None:
        """Guards against more executions than slots."""
        worker = _worker()
        results = [
            worker.reserve(_reservation(f"r{number}"), 0.0)
            for number in range(4)
        ]
        self.assertEqual([True, True, True, False], results)

    def test_cores_are_a_hard_limit(self) -> None:
        """Guards against more reserved cores than the worker has."""
        worker = _worker()
        self.assertTrue(worker.reserve(_reservation("r1", 3.5), 0.0))
        self.assertFalse(worker.reserve(_reservation("r2", 1.0), 0.0))

    def test_executions_of_earlier_owner_count(self) -> None:
        """Guards against overcommitment by a new owner."""
        running = tuple(_reservation(f"old{number}") for number in range(3))
        worker = _worker(running)
        self.assertFalse(worker.reserve(_reservation("new"), 0.0))

    def test_repeated_release_has_no_effect(self) -> None:
        """Guards against capacity released twice by a repeated report."""
        worker = _worker()
        worker.reserve(_reservation("r1"), 0.0)
        self.assertTrue(worker.release("r1"))
        self.assertFalse(worker.release("r1"))
        self.assertEqual(3, worker.free_slots)

    def test_repeated_reservation_is_rejected(self) -> None:
        """Guards against an execution counted once but dispatched twice."""
        worker = _worker()
        worker.reserve(_reservation("r1"), 0.0)
        with ExpectedException(BrokenInvariant):
            worker.reserve(_reservation("r1"), 0.0)

    def test_leaving_worker_gets_no_work(self) -> None:
        """Guards against new work on a worker that leaves the fleet."""
        worker = _worker()
        self.assertTrue(worker.mark_leaving())
        self.assertFalse(worker.reserve(_reservation("r1"), 0.0))

    def test_revoked_owner_reserves_nothing(self) -> None:
        """Guards against dispatches by the former owner after a handover."""
        worker = _worker()
        worker.guard.revoke()
        self.assertFalse(worker.reserve(_reservation("r1"), 0.0))

    def test_lost_answer_keeps_capacity_reserved_until_fence(self) -> None:
        """Guards against overcommitment by a dispatch that arrives late."""
        worker = _worker()
        worker.reserve(_reservation("r1"), 0.0)
        worker.mark_answer_lost("r1")
        self.assertTrue(worker.has_lost_answers)
        self.assertEqual(2, worker.free_slots)
        token = worker.guard.token
        self.assertEqual(token + 1, worker.begin_fence())
        self.assertFalse(worker.reserve(_reservation("r2"), 0.0))
        worker.inherit(_answer((_reservation("r1"),)), 0.0)
        self.assertEqual(2, worker.free_slots)

    def test_report_from_before_fence_does_not_release(self) -> None:
        """Guards against release by a report that predates the orphans."""
        worker = _worker((_reservation("old"),))
        self.assertEqual([], worker.reconcile(_report(set(), 9)))
        self.assertEqual(["old"], worker.reconcile(_report(set(), 10)))
        self.assertEqual(3, worker.free_slots)

    def test_request_answered_during_fence_is_released(self) -> None:
        """Guards against a slot that stays reserved after its answer.

        The worker's answer to the fence may still list the request.
        """
        worker = _worker()
        worker.reserve(_reservation("r1"), 0.0)
        worker.begin_fence()
        worker.release("r1")
        worker.inherit(_answer((_reservation("r1"),)), 0.0)
        self.assertEqual(3, worker.free_slots)

    def test_request_in_flight_survives_fence(self) -> None:
        """Guards against releasing the slot of a request that is in flight.

        A dispatch of this owner is not an orphan, so that its answer and not
        a report releases it.
        """
        worker = _worker()
        worker.reserve(_reservation("r1"), 0.0)
        worker.begin_fence()
        worker.inherit(_answer((_reservation("r1"),), 20), 0.0)
        self.assertEqual([], worker.reconcile(_report(set(), 21)))
        self.assertTrue(worker.release("r1"))


class LeaseGuardTest(TestCase):
    """Ownership by a time lease."""

    def test_dispatch_stops_a_margin_before_expiry(self) -> None:
        """Guards against dispatches by an owner that was paused too long.

        It may resume when its lease at the worker has already expired.
        """
        guard = LeaseGuard(1, lease_s=10.0, margin_s=2.0)
        self.assertFalse(guard.may_dispatch(0.0))
        guard.confirm(0.0)
        self.assertTrue(guard.may_dispatch(7.9))
        self.assertFalse(guard.may_dispatch(8.0))
