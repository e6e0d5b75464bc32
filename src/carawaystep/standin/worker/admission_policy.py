"""Admission of work and connections to a stand-in worker."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.standin.worker.ledger import Ledger
    from carawaystep.standin.worker.refusal import Refusal
    from carawaystep.worker.resources import Resources


class Admission(ABC):
    """Decides what a worker refuses."""

    @property
    @abstractmethod
    def guards(self) -> bool:
        """Tell whether anything is ever refused."""

    @abstractmethod
    def check_fence(self, epoch: int, fenced: int) -> Refusal | None:
        """Decide about a fence.

        :param epoch: epoch of the fence
        :param fenced: epoch of the last fence, 0 when there was none
        """

    @abstractmethod
    def check_epoch(self, epoch: int, fenced: int) -> Refusal | None:
        """Decide about the epoch of a call.

        :param epoch: epoch of the caller's ownership
        :param fenced: epoch of the last fence, 0 when there was none
        """

    @abstractmethod
    def check_work(
        self, needs: Resources, ledger: Ledger, leaving: bool
    ) -> Refusal | None:
        """Decide about one more execution.

        :param needs: what it would hold beside one slot
        :param ledger: what runs already
        :param leaving: True when the worker leaves the fleet
        """

    @abstractmethod
    def admits_connection(self, ledger: Ledger) -> bool:
        """Decide about one more connection."""
