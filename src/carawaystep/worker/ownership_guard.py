"""Whether this process may give work to a worker."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

# A fence token is the epoch of the owner row followed by this many bits of
# a generation that the owner raises by itself.
_GENERATION_BITS = 16
_MAX_GENERATION = (1 << _GENERATION_BITS) - 1


class OwnershipGuard(ABC):
    """Proof that no other process gives work to the same worker.

    Every message to the worker carries the guard's token. The owner fences
    again with the next generation when it lost the answer to a dispatch: a
    dispatch that is still on its way is then refused. This needs no platform.
    """

    def __init__(self, epoch: int) -> None:
        """Create a guard for one epoch of ownership.

        :param epoch: epoch of the ownership row
        """
        self._epoch = epoch
        self._generation = 0
        self._revoked = False

    @property
    def epoch(self) -> int:
        """Return the epoch of the ownership row."""
        return self._epoch

    @property
    def token(self) -> int:
        """Return the number that every message to the worker carries."""
        return self._epoch << _GENERATION_BITS | self._generation

    @property
    def revoked(self) -> bool:
        """Tell whether ownership was lost or given away."""
        return self._revoked

    @property
    def exhausted(self) -> bool:
        """Tell whether no generation is left in this epoch."""
        return self._generation >= _MAX_GENERATION

    def revoke(self) -> None:
        """Record that ownership was lost or given away."""
        self._revoked = True

    def renew_token(self) -> int:
        """Move to the next generation, which waits for its fence."""
        if self.exhausted:
            self.revoke()
        else:
            self._generation += 1
        self.unconfirm()
        return self.token

    @abstractmethod
    def confirm(self, now: float) -> None:
        """Record that ownership was confirmed.

        :param now: time at which the confirming call was sent
        """

    @abstractmethod
    def unconfirm(self) -> None:
        """Record that the present token waits for its fence."""

    @abstractmethod
    def may_dispatch(self, now: float) -> bool:
        """Tell whether work may be given now.

        :param now: present time, seconds of a monotonic clock
        """
