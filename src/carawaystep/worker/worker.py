"""A worker, as seen by the entry that owns it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.errors.broken_invariant import BrokenInvariant
from carawaystep.worker.resources import Resources
from carawaystep.worker.work_kind import WorkKind

if TYPE_CHECKING:
    from carawaystep.fleet.vm import Vm
    from carawaystep.worker.capacity import Capacity
    from carawaystep.worker.fence_answer import FenceAnswer
    from carawaystep.worker.ownership_guard import OwnershipGuard
    from carawaystep.worker.reservation import Reservation
    from carawaystep.worker.worker_report import WorkerReport


class Worker:
    """Capacity and reservations of an owned worker.

    Invariant: the reservations never exceed the capacity. The owner calls
    ``reserve`` before it dispatches any work, so it cannot overcommit the
    worker.

    After a fence the owner also accounts for orphans: executions that it
    did not dispatch itself, or whose answer it lost.
    """

    def __init__(self, vm: Vm, guard: OwnershipGuard) -> None:
        """Create a worker that accepts no work until it is fenced.

        :param vm: its VM, as listed by the platform
        :param guard: decides whether this process may dispatch to it
        """
        self._vm = vm
        self._guard = guard
        self._capacity: Capacity | None = None
        self._reservations: dict[str, Reservation] = {}
        self._used = Resources()
        self._leaving = False
        self._reachable = False
        # Executions that end without an answer to this process, so that only
        # the worker's report shows their end: those of earlier owners and
        # those whose answer was lost before the last fence.
        self._orphans: set[str] = set()
        # Executions whose answer was lost after the last fence.
        self._answers_lost: set[str] = set()
        self._fence_clock_s = 0.0
        # Executions released since the last fence was sent, whose answer may
        # still list them. None once the answer was applied.
        self._released_during_fence: set[str] | None = None

    @property
    def name(self) -> str:
        """Return the worker's name."""
        return self._vm.name

    @property
    def vm(self) -> Vm:
        """Return the VM of the worker."""
        return self._vm

    @property
    def guard(self) -> OwnershipGuard:
        """Return the guard that protects this process's ownership."""
        return self._guard

    @property
    def capacity(self) -> Capacity | None:
        """Return the capacity, None before the first fence."""
        return self._capacity

    @property
    def used(self) -> Resources:
        """Return the total resources of all reservations."""
        return self._used

    @property
    def leaving(self) -> bool:
        """Return whether the worker is leaving the fleet."""
        return self._leaving

    @property
    def reachable(self) -> bool:
        """Return whether the worker answers fences, renewals and reports."""
        return self._reachable

    @property
    def reservations(self) -> tuple[Reservation, ...]:
        """Return all reservations."""
        return tuple(self._reservations.values())

    @property
    def free_slots(self) -> int:
        """Return the number of unreserved slots, 0 before the first fence."""
        if self._capacity is None:
            return 0
        return self._capacity.slots - len(self._reservations)

    @property
    def task_count(self) -> int:
        """Return the number of slots reserved for tasks."""
        return sum(
            1
            for reservation in self._reservations.values()
            if reservation.kind is WorkKind.TASK
        )

    @property
    def has_lost_answers(self) -> bool:
        """Return whether a fence is needed to account for lost answers."""
        return bool(self._answers_lost)

    @property
    def orphans(self) -> list[Reservation]:
        """Return the executions whose end only a report can show."""
        return [
            self._reservations[reservation_id]
            for reservation_id in self._orphans
        ]

    def can_accept_work(self, now: float) -> bool:
        """Return whether this process may dispatch new work to the worker.

        :param now: current monotonic time in seconds
        """
        return (
            self._capacity is not None
            and self._reachable
            and not self._leaving
            and self._guard.may_dispatch(now)
        )

    def has_room(self, needs: Resources) -> bool:
        """Return whether one more execution fits into the capacity.

        :param needs: resources of the execution
        """
        if self._capacity is None or self.free_slots < 1:
            return False
        return (self._used + needs).fits_in(self._capacity.resources)

    def begin_fence(self) -> int:
        """Return the token of the next fence.

        Dispatch is blocked until ``inherit`` has applied the worker's answer.
        """
        self._released_during_fence = set()
        return self._guard.advance_token()

    def inherit(self, answer: FenceAnswer, sent_at: float) -> None:
        """Apply the answer to a fence: reservations, capacity and state.

        The reservations are replaced by what the worker runs.

        The answer includes executions of earlier owners. An execution that
        it does not list has ended, or will be refused because of the fence.

        :param answer: the worker's answer to the fence
        :param sent_at: monotonic time at which the fence was sent, seconds
        """
        released = self._released_during_fence or set()
        self._released_during_fence = None
        tracked = set(self._reservations) - self._answers_lost - self._orphans
        self._capacity = answer.capacity
        self._reservations = {
            reservation.id: reservation
            for reservation in answer.running
            if reservation.id not in released
        }
        self._used = sum(
            (reservation.needs for reservation in self._reservations.values()),
            Resources(),
        )
        self._orphans = set(self._reservations) - tracked
        self._answers_lost = set()
        self._fence_clock_s = answer.clock_s
        self._reachable = True
        self._leaving = self._leaving or answer.leaving
        self._guard.confirm(sent_at)

    def is_after_fence(self, report: WorkerReport) -> bool:
        """Return whether a report was taken after the last fence."""
        return report.clock_s >= self._fence_clock_s

    def reconcile(self, report: WorkerReport) -> list[str]:
        """Release the orphans that the worker no longer runs.

        A report from before the fence is ignored because the orphans were
        not known then.

        :returns: ids of the released executions
        """
        if not self.is_after_fence(report):
            return []
        ended = [
            reservation_id
            for reservation_id in self._orphans
            if reservation_id not in report.running
        ]
        for reservation_id in ended:
            self.release(reservation_id)
        return ended

    def mark_answer_lost(self, reservation_id: str) -> None:
        """Record that the answer to a dispatch was lost.

        Its capacity stays reserved until a fence shows whether it runs.

        :param reservation_id: dispatch id of a request, or job id
        """
        if reservation_id in self._reservations:
            self._answers_lost.add(reservation_id)

    def reserve(self, reservation: Reservation, now: float) -> bool:
        """Reserve capacity for one execution.

        :param reservation: the execution and its needs
        :param now: current monotonic time in seconds
        :returns: False if the worker lacks capacity or may not get work
        :raises BrokenInvariant: when the execution already has a reservation
        """
        if not self.can_accept_work(now) or not self.has_room(
            reservation.needs
        ):
            return False
        if reservation.id in self._reservations:
            raise BrokenInvariant(
                f"worker {self.name}: {reservation.id} already has a "
                "reservation"
            )
        self._reservations[reservation.id] = reservation
        self._used = self._used + reservation.needs
        self._check_limits()
        return True

    def release(self, reservation_id: str) -> bool:
        """Release the capacity of an execution that has certainly ended.

        :param reservation_id: dispatch id of a request, or job id
        :returns: False if nothing was reserved, as after a repeated report
        """
        if self._released_during_fence is not None:
            self._released_during_fence.add(reservation_id)
        reservation = self._reservations.pop(reservation_id, None)
        if reservation is None:
            return False
        self._orphans.discard(reservation_id)
        self._answers_lost.discard(reservation_id)
        self._used = self._used - reservation.needs
        return True

    def find(self, reservation_id: str) -> Reservation | None:
        """Return the reservation with an id, None if there is none."""
        return self._reservations.get(reservation_id)

    def mark_leaving(self) -> bool:
        """Record that the worker is leaving the fleet.

        :returns: True if this was not known before
        """
        changed = not self._leaving
        self._leaving = True
        return changed

    def set_reachable(self, reachable: bool) -> bool:
        """Record whether the worker answers.

        :returns: True if the state changed
        """
        changed = self._reachable is not reachable
        self._reachable = reachable
        return changed

    def _check_limits(self) -> None:
        capacity = self._capacity
        if capacity is None or self.free_slots < 0:
            raise BrokenInvariant(
                f"worker {self.name}: more reservations than slots"
            )
        if not self._used.fits_in(capacity.resources):
            raise BrokenInvariant(
                f"worker {self.name}: reserved {self._used} exceeds capacity "
                f"{capacity.resources}"
            )
