"""Admission to a worker that enforces neither fencing nor limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.standin.worker.admission_policy import AdmissionPolicy

if TYPE_CHECKING:
    from carawaystep.standin.worker.ledger import Ledger
    from carawaystep.standin.worker.refusal import Refusal
    from carawaystep.worker.resources import Resources


class UnguardedAdmission(AdmissionPolicy):
    """Accepts all calls, work and connections, even beyond the limits."""

    @property
    def guards(self) -> bool:
        """Return False: the policy accepts everything."""
        return False

    def check_fence(self, epoch: int, fence_epoch: int) -> Refusal | None:
        """Accept every fence."""
        return None

    def check_epoch(self, epoch: int, fence_epoch: int) -> Refusal | None:
        """Accept every epoch."""
        return None

    def check_work(
        self, needs: Resources, ledger: Ledger, leaving: bool
    ) -> Refusal | None:
        """Accept all work."""
        return None

    def admits_connection(self, ledger: Ledger) -> bool:
        """Accept every connection."""
        return True
