"""Admission of a worker that checks fencing tokens but no limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.standin.worker.guarded_admission import GuardedAdmission
from carawaystep.standin.worker.refusal import WorkerLeaving

if TYPE_CHECKING:
    from carawaystep.standin.worker.ledger import Ledger
    from carawaystep.standin.worker.refusal import Refusal
    from carawaystep.worker.resources import Resources


class FencingOnlyAdmission(GuardedAdmission):
    """Does not enforce the limits, so that faults of the owner show up."""

    def check_work(
        self, needs: Resources, ledger: Ledger, leaving: bool
    ) -> Refusal | None:
        """Accept all work, unless the worker is leaving."""
        return WorkerLeaving("the worker is leaving") if leaving else None
