"""Admission of a worker that guards its limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.standin.worker.admission_policy import Admission
from carawaystep.standin.worker.refusal import Leaving
from carawaystep.standin.worker.refusal import NoRoom
from carawaystep.standin.worker.refusal import StaleEpoch

if TYPE_CHECKING:
    from carawaystep.standin.worker.ledger import Ledger
    from carawaystep.standin.worker.refusal import Refusal
    from carawaystep.worker.capacity import Capacity
    from carawaystep.worker.resources import Resources


class GuardedAdmission(Admission):
    """Refuses other tokens than the fenced one and work beyond the limits."""

    def __init__(self, capacity: Capacity) -> None:
        """Create the admission.

        :param capacity: limits of the worker
        """
        self._capacity = capacity

    @property
    def guards(self) -> bool:
        """Return True."""
        return True

    def check_fence(self, epoch: int, fenced: int) -> Refusal | None:
        """Refuse a fence below the present one."""
        if epoch >= fenced:
            return None
        return StaleEpoch(f"epoch {epoch} is below {fenced}", fenced)

    def check_epoch(self, epoch: int, fenced: int) -> Refusal | None:
        """Refuse every epoch but the fenced one.

        After a restart nothing is fenced, and a former owner's call must not
        run beside those of the present owner.
        """
        if epoch == fenced and fenced > 0:
            return None
        return StaleEpoch(f"epoch {epoch} is not {fenced}", fenced)

    def check_work(
        self, needs: Resources, ledger: Ledger, leaving: bool
    ) -> Refusal | None:
        """Refuse work when leaving, without a slot or without resources."""
        if leaving:
            return Leaving("the worker is leaving the fleet")
        if ledger.running_count >= self._capacity.slots:
            return NoRoom("no slot is free")
        if not (ledger.used + needs).fits_in(self._capacity.resources):
            return NoRoom(f"{needs} does not fit beside {ledger.used}")
        return None

    def admits_connection(self, ledger: Ledger) -> bool:
        """Refuse connections beyond the limit."""
        return ledger.open_connections < self._capacity.connections
