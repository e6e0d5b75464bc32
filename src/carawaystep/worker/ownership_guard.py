"""Whether this process may give work to a worker."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod


class OwnershipGuard(ABC):
    """Proof that no other process gives work to the same worker."""

    def __init__(self, epoch: int) -> None:
        """Create a guard for one epoch of ownership.

        :param epoch: epoch of the ownership row
        """
        self._epoch = epoch
        self._revoked = False

    @property
    def epoch(self) -> int:
        """Return the epoch that every message to the worker carries."""
        return self._epoch

    @property
    def revoked(self) -> bool:
        """Tell whether ownership was lost or given away."""
        return self._revoked

    def revoke(self) -> None:
        """Record that ownership was lost or given away."""
        self._revoked = True

    @abstractmethod
    def confirm(self, now: float) -> None:
        """Record that ownership was confirmed.

        :param now: time at which the confirming call was sent
        """

    @abstractmethod
    def may_dispatch(self, now: float) -> bool:
        """Tell whether work may be given now.

        :param now: present time, seconds of a monotonic clock
        """
