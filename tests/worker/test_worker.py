"""Tests of the capacity rules of a worker."""

from __future__ import annotations

from testtools import ExpectedException
from testtools import TestCase

from carawaystep.errors.broken_invariant import BrokenInvariant
from carawaystep.platform.vm import Vm
from carawaystep.platform.vm_state import VmState
from carawaystep.worker.capacity import Capacity
from carawaystep.worker.fencing_guard import FencingGuard
from carawaystep.worker.lease_guard import LeaseGuard
from carawaystep.worker.reservation import Reservation
from carawaystep.worker.resources import Resources
from carawaystep.worker.work_kind import WorkKind
from carawaystep.worker.worker import Worker

_CAPACITY = Capacity(Resources(4.0, 1000, 1), slots=3, connections=8)


def _reservation(name: str, cpu: float = 1.0) -> Reservation:
    return Reservation(name, WorkKind.REQUEST, 0, Resources(cpu, 100))


def _worker(running: tuple[Reservation, ...] = ()) -> Worker:
    vm = Vm("w1", "arima", "r1", "http://127.0.0.1:1", VmState.LIVE)
    guard = FencingGuard(1)
    guard.confirm(0.0)
    worker = Worker(vm, guard)
    worker.inherit(_CAPACITY, running)
    return worker


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


class LeaseGuardTest(TestCase):
    """Ownership by time for workers that cannot fence."""

    def test_lease_ends_before_its_margin(self) -> None:
        """Guards against dispatch by an owner that was paused."""
        guard = LeaseGuard(1, lease_s=10.0, margin_s=2.0)
        self.assertFalse(guard.may_dispatch(0.0))
        guard.confirm(0.0)
        self.assertTrue(guard.may_dispatch(7.9))
        self.assertFalse(guard.may_dispatch(8.0))
