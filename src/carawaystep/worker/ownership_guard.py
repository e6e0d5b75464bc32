"""Guards that decide whether this process may dispatch to a worker."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

# A fencing token is the epoch of the owner row, shifted by this number of
# bits, plus a generation that the owner increments without the platform.
_GENERATION_BITS = 16
_MAX_GENERATION = (1 << _GENERATION_BITS) - 1


class OwnershipGuard(ABC):
    """Ensures that only one process dispatches to a worker.

    Every call to the worker carries the guard's fencing token. If the answer
    to a dispatch is lost, the owner fences the worker again with the next
    generation, so that the worker refuses the dispatch if it arrives later.
    This works while the platform is unavailable.
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
        """Return the fencing token that every call to the worker carries."""
        return self._epoch << _GENERATION_BITS | self._generation

    @property
    def revoked(self) -> bool:
        """Return whether ownership was lost or handed over."""
        return self._revoked

    @property
    def generations_exhausted(self) -> bool:
        """Return whether no generation is left in this epoch."""
        return self._generation >= _MAX_GENERATION

    def revoke(self) -> None:
        """Record that ownership was lost or handed over."""
        self._revoked = True

    def advance_token(self) -> int:
        """Advance to the next generation and return its token.

        Dispatch is blocked until the worker accepts the token. Without a
        generation left, ownership is revoked instead.
        """
        if self.generations_exhausted:
            self.revoke()
        else:
            self._generation += 1
        self.require_confirmation()
        return self.token

    @abstractmethod
    def confirm(self, now: float) -> None:
        """Record that the worker confirmed the ownership.

        :param now: monotonic time at which the confirming call was sent
        """

    @abstractmethod
    def require_confirmation(self) -> None:
        """Block dispatch until ownership is confirmed again."""

    @abstractmethod
    def may_dispatch(self, now: float) -> bool:
        """Return whether this process may dispatch to the worker.

        :param now: current monotonic time in seconds
        """
