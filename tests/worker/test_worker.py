"""Tests of the capacity rules of a worker."""

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
    """Reservations against the capacity."""

    def test_slots_are_a_hard_limit(self) -> None:
        """Guards against more executions than slots."""
        worker = _worker()
        results = [
            worker.reserve(_reservation(f"r{number}"), 0.0)
            for number in range(4)
        ]
        self.assertEqual([True, True, True, False], results)

    def test_cores_are_a_hard_limit(self) -> None:
        """Guards against more cores given than the worker has."""
        worker = _worker()
        self.assertTrue(worker.reserve(_reservation("r1", 3.5), 0.0))
        self.assertFalse(worker.reserve(_reservation("r2", 1.0), 0.0))

    def test_inherited_work_counts(self) -> None:
        """Guards against a new owner that overfills the worker."""
        running = tuple(_reservation(f"old{number}") for number in range(3))
        worker = _worker(running)
        self.assertFalse(worker.reserve(_reservation("new"), 0.0))

    def test_doubled_release_gives_nothing_back(self) -> None:
        """Guards against capacity freed twice by a doubled report."""
        worker = _worker()
        worker.reserve(_reservation("r1"), 0.0)
        self.assertTrue(worker.release("r1"))
        self.assertFalse(worker.release("r1"))
        self.assertEqual(3, worker.free_slots)

    def test_doubled_reservation_breaks_an_invariant(self) -> None:
        """Guards against one execution counted once but sent twice."""
        worker = _worker()
        worker.reserve(_reservation("r1"), 0.0)
        with ExpectedException(BrokenInvariant):
            worker.reserve(_reservation("r1"), 0.0)

    def test_leaving_worker_gets_nothing(self) -> None:
        """Guards against new work on a worker that leaves."""
        worker = _worker()
        self.assertTrue(worker.mark_leaving())
        self.assertFalse(worker.reserve(_reservation("r1"), 0.0))

    def test_revoked_owner_gives_nothing(self) -> None:
        """Guards against dispatch after a handover."""
        worker = _worker()
        worker.guard.revoke()
        self.assertFalse(worker.reserve(_reservation("r1"), 0.0))

    def test_lost_answer_holds_capacity_until_the_fence(self) -> None:
        """Guards against a late dispatch on top of a full worker."""
        worker = _worker()
        worker.reserve(_reservation("r1"), 0.0)
        worker.doubt("r1")
        self.assertTrue(worker.in_doubt)
        self.assertEqual(2, worker.free_slots)
        token = worker.guard.token
        self.assertEqual(token + 1, worker.begin_fence())
        self.assertFalse(worker.reserve(_reservation("r2"), 0.0))
        worker.inherit(_answer((_reservation("r1"),)), 0.0)
        self.assertEqual(2, worker.free_slots)

    def test_lagging_report_does_not_release(self) -> None:
        """Guards against capacity freed by a report from before."""
        worker = _worker((_reservation("old"),))
        self.assertEqual([], worker.reconcile(_report(set(), 9)))
        self.assertEqual(["old"], worker.reconcile(_report(set(), 10)))
        self.assertEqual(3, worker.free_slots)

    def test_answer_during_a_fence_is_not_inherited(self) -> None:
        """Guards against a slot held for ever by an answered request."""
        worker = _worker()
        worker.reserve(_reservation("r1"), 0.0)
        worker.begin_fence()
        worker.release("r1")
        worker.inherit(_answer((_reservation("r1"),)), 0.0)
        self.assertEqual(3, worker.free_slots)

    def test_request_in_flight_outlives_a_fence(self) -> None:
        """Guards against a slot given away under a running request."""
        worker = _worker()
        worker.reserve(_reservation("r1"), 0.0)
        worker.begin_fence()
        worker.inherit(_answer((_reservation("r1"),), 20), 0.0)
        self.assertEqual([], worker.reconcile(_report(set(), 21)))
        self.assertTrue(worker.release("r1"))


class LeaseGuardTest(TestCase):
    """Ownership by time for workers that cannot fence."""

    def test_lease_ends_before_its_margin(self) -> None:
        """Guards against dispatch by an owner that was paused."""
        guard = LeaseGuard(1, lease_s=10.0, margin_s=2.0)
        self.assertFalse(guard.may_dispatch(0.0))
        guard.confirm(0.0)
        self.assertTrue(guard.may_dispatch(7.9))
        self.assertFalse(guard.may_dispatch(8.0))
