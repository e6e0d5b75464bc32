"""Admission of calls, work and connections to a stand-in worker."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.standin.worker.ledger import Ledger
    from carawaystep.standin.worker.refusal import Refusal
    from carawaystep.worker.resources import Resources


class AdmissionPolicy(ABC):
    """Decides which calls and connections a worker refuses.

    A check returns the refusal, or None to accept the call.
    """

    @property
    @abstractmethod
    def guards(self) -> bool:
        """Return whether the policy ever refuses anything."""

    @abstractmethod
    def check_fence(self, epoch: int, fence_epoch: int) -> Refusal | None:
        """Check a fence call.

        :param epoch: epoch of the fence call
        :param fence_epoch: epoch of the last accepted fence, 0 if none
        """

    @abstractmethod
    def check_epoch(self, epoch: int, fence_epoch: int) -> Refusal | None:
        """Check the epoch of any other call.

        :param epoch: epoch of the caller's ownership
        :param fence_epoch: epoch of the last accepted fence, 0 if none
        """

    @abstractmethod
    def check_work(
        self, needs: Resources, ledger: Ledger, leaving: bool
    ) -> Refusal | None:
        """Check whether one more execution may start.

        :param needs: resources that it would use in addition to one slot
        :param ledger: record of the running executions
        :param leaving: True if the worker is leaving the fleet
        """

    @abstractmethod
    def admits_connection(self, ledger: Ledger) -> bool:
        """Return whether one more connection is accepted."""
