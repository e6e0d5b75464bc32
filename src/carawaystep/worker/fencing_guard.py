"""Ownership guard for workers that support fencing."""

from __future__ import annotations

from carawaystep.worker.ownership_guard import OwnershipGuard


class FencingGuard(OwnershipGuard):
    """Ownership of a worker that refuses calls with lower fencing tokens.

    It does not expire and depends on no clock: once another owner has fenced
    the worker with a higher token, the worker refuses this process.
    """

    def __init__(self, epoch: int) -> None:
        """Create a guard that blocks dispatch until the first fence.

        :param epoch: epoch of the ownership row
        """
        super().__init__(epoch)
        self._fenced = False

    def confirm(self, now: float) -> None:
        """Record that the worker accepted the current token."""
        self._fenced = True

    def require_confirmation(self) -> None:
        """Block dispatch until the worker accepts the current token."""
        self._fenced = False

    def may_dispatch(self, now: float) -> bool:
        """Return whether the worker accepted the current token."""
        return self._fenced and not self._revoked
