"""A worker as its owner sees it."""

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
    """Capacity and reservations of one owned worker.

    Its rule: the reservations never exceed the capacity. All work goes
    through ``reserve``, so the owner cannot give more than the worker holds.
    """

    def __init__(self, vm: Vm, guard: OwnershipGuard) -> None:
        """Create a worker that accepts nothing until it is fenced.

        :param vm: its entry in the platform's list
        :param guard: tells whether this process may give it work
        """
        self._vm = vm
        self._guard = guard
        self._capacity: Capacity | None = None
        self._reservations: dict[str, Reservation] = {}
        self._used = Resources()
        self._leaving = False
        self._reachable = False
        # Executions whose end only the worker's report tells: those of
        # earlier owners and those whose answer was lost.
        self._orphans: set[str] = set()
        self._in_doubt: set[str] = set()
        self._fenced_clock_s = 0.0
        self._released_in_fence: set[str] | None = None

    @property
    def name(self) -> str:
        """Return the worker's name."""
        return self._vm.name

    @property
    def vm(self) -> Vm:
        """Return the VM that it runs on."""
        return self._vm

    @property
    def guard(self) -> OwnershipGuard:
        """Return the guard of this process's ownership."""
        return self._guard

    @property
    def capacity(self) -> Capacity | None:
        """Return the capacity, None before the first fence."""
        return self._capacity

    @property
    def used(self) -> Resources:
        """Return the sum of all reservations."""
        return self._used

    @property
    def leaving(self) -> bool:
        """Tell whether the worker is leaving the fleet."""
        return self._leaving

    @property
    def reachable(self) -> bool:
        """Tell whether its last report arrived in time."""
        return self._reachable

    @property
    def reservations(self) -> tuple[Reservation, ...]:
        """Return all reservations."""
        return tuple(self._reservations.values())

    @property
    def free_slots(self) -> int:
        """Return the number of slots that no reservation holds."""
        if self._capacity is None:
            return 0
        return self._capacity.slots - len(self._reservations)

    @property
    def task_count(self) -> int:
        """Return the number of slots that tasks hold."""
        return sum(
            1
            for held in self._reservations.values()
            if held.kind is WorkKind.TASK
        )

    @property
    def in_doubt(self) -> bool:
        """Tell whether a fence is needed to account for lost answers."""
        return bool(self._in_doubt)

    @property
    def orphans(self) -> list[Reservation]:
        """Return the executions whose end only the report tells."""
        return [self._reservations[name] for name in self._orphans]

    def may_receive(self, now: float) -> bool:
        """Tell whether this process may give the worker new work.

        :param now: present time, seconds of a monotonic clock
        """
        return (
            self._capacity is not None
            and self._reachable
            and not self._leaving
            and self._guard.may_dispatch(now)
        )

    def has_room(self, needs: Resources) -> bool:
        """Tell whether one more execution with these needs fits."""
        if self._capacity is None or self.free_slots < 1:
            return False
        return (self._used + needs).fits_in(self._capacity.resources)

    def begin_fence(self) -> int:
        """Return the token of the next fence; dispatch waits for it."""
        self._released_in_fence = set()
        return self._guard.renew_token()

    def inherit(self, answer: FenceAnswer, sent_at: float) -> None:
        """Take over what the worker runs, for earlier owners too.

        Whatever it does not list has ended or was refused by the fence.

        :param answer: the worker's answer to the fence
        :param sent_at: when the fence was sent, monotonic seconds
        """
        released = self._released_in_fence or set()
        self._released_in_fence = None
        tracked = set(self._reservations) - self._in_doubt - self._orphans
        self._capacity = answer.capacity
        self._reservations = {
            held.id: held for held in answer.running if held.id not in released
        }
        self._used = sum(
            (held.needs for held in self._reservations.values()), Resources()
        )
        self._orphans = set(self._reservations) - tracked
        self._in_doubt = set()
        self._fenced_clock_s = answer.clock_s
        self._reachable = True
        self._leaving = self._leaving or answer.leaving
        self._guard.confirm(sent_at)

    def is_after_fence(self, report: WorkerReport) -> bool:
        """Tell whether a report shows the worker after the last fence."""
        return report.clock_s >= self._fenced_clock_s

    def reconcile(self, report: WorkerReport) -> list[str]:
        """Release orphans that the worker no longer runs.

        A report that lags behind the fence says nothing about them.

        :returns: ids that were released
        """
        if not self.is_after_fence(report):
            return []
        gone = [name for name in self._orphans if name not in report.running]
        for name in gone:
            self.release(name)
        return gone

    def doubt(self, reservation_id: str) -> None:
        """Record that the answer to a dispatch was lost.

        Its capacity stays held until a fence tells whether it runs.
        """
        if reservation_id in self._reservations:
            self._in_doubt.add(reservation_id)

    def reserve(self, reservation: Reservation, now: float) -> bool:
        """Hold capacity for one execution.

        :param reservation: what to hold
        :param now: present time, seconds of a monotonic clock
        :returns: False when the worker has no room or may get no work
        """
        if not self.may_receive(now) or not self.has_room(reservation.needs):
            return False
        if reservation.id in self._reservations:
            raise BrokenInvariant(
                f"worker {self.name}: {reservation.id} is reserved twice"
            )
        self._reservations[reservation.id] = reservation
        self._used = self._used + reservation.needs
        self._check_limits()
        return True

    def release(self, reservation_id: str) -> bool:
        """Give back the capacity of an execution that has certainly ended.

        :param reservation_id: request id or job id
        :returns: False when nothing was held, as after a doubled report
        """
        if self._released_in_fence is not None:
            self._released_in_fence.add(reservation_id)
        held = self._reservations.pop(reservation_id, None)
        if held is None:
            return False
        self._orphans.discard(reservation_id)
        self._in_doubt.discard(reservation_id)
        self._used = self._used - held.needs
        return True

    def find(self, reservation_id: str) -> Reservation | None:
        """Return the reservation with this id, if any."""
        return self._reservations.get(reservation_id)

    def mark_leaving(self) -> bool:
        """Record that the worker leaves the fleet.

        :returns: True when this was not known before
        """
        changed = not self._leaving
        self._leaving = True
        return changed

    def mark_reachable(self, reachable: bool) -> bool:
        """Record whether the worker answers.

        :returns: True when this differs from before
        """
        changed = self._reachable is not reachable
        self._reachable = reachable
        return changed

    def _check_limits(self) -> None:
        capacity = self._capacity
        if capacity is None or self.free_slots < 0:
            raise BrokenInvariant(f"worker {self.name}: no slot left")
        if not self._used.fits_in(capacity.resources):
            raise BrokenInvariant(
                f"worker {self.name}: {self._used} exceeds "
                f"{capacity.resources}"
            )
