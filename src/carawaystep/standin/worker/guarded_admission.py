"""Admission to a worker that enforces fencing and its limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.standin.worker.admission_policy import AdmissionPolicy
from carawaystep.standin.worker.refusal import EpochRefused
from carawaystep.standin.worker.refusal import InsufficientCapacity
from carawaystep.standin.worker.refusal import WorkerLeaving

if TYPE_CHECKING:
    from carawaystep.standin.worker.ledger import Ledger
    from carawaystep.standin.worker.refusal import Refusal
    from carawaystep.worker.capacity import Capacity
    from carawaystep.worker.resources import Resources


class GuardedAdmission(AdmissionPolicy):
    """Refuses calls with another epoch than the fence, and excess load.

    Excess load is work or connections beyond the capacity of the worker.
    """

    def __init__(self, capacity: Capacity) -> None:
        """Create the policy.

        :param capacity: limits of the worker
        """
        self._capacity = capacity

    @property
    def guards(self) -> bool:
        """Return True: the policy refuses calls."""
        return True

    def check_fence(self, epoch: int, fence_epoch: int) -> Refusal | None:
        """Refuse a fence with an epoch below the current one."""
        if epoch >= fence_epoch:
            return None
        return EpochRefused(
            f"epoch {epoch} is below the fence epoch {fence_epoch}",
            fence_epoch,
        )

    def check_epoch(self, epoch: int, fence_epoch: int) -> Refusal | None:
        """Refuse every epoch except that of the last accepted fence call.

        A restart forgets the fence. Until the next fence call all calls are
        refused, because work of a former owner could run concurrently with
        that of the current owner.
        """
        if epoch == fence_epoch and fence_epoch > 0:
            return None
        return EpochRefused(
            f"epoch {epoch} is not the fence epoch {fence_epoch}", fence_epoch
        )

    def check_work(
        self, needs: Resources, ledger: Ledger, leaving: bool
    ) -> Refusal | None:
        """Refuse work if the worker is leaving or its capacity is used."""
        if leaving:
            return WorkerLeaving("the worker is leaving the fleet")
        if ledger.running_count >= self._capacity.slots:
            return InsufficientCapacity("no slot is free")
        if not (ledger.used + needs).fits_in(self._capacity.resources):
            return InsufficientCapacity(
                f"{needs} does not fit in addition to {ledger.used}"
            )
        return None

    def admits_connection(self, ledger: Ledger) -> bool:
        """Refuse connections beyond the limit."""
        return ledger.open_connections < self._capacity.connections
