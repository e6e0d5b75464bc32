"""Ownership by a fence at the worker."""

from __future__ import annotations

from carawaystep.worker.ownership_guard import OwnershipGuard


class FencingGuard(OwnershipGuard):
    """Ownership of a worker that refuses lower epochs.

    It has no expiry: a worker that was fenced with a higher epoch refuses
    this process, whatever its clock says.
    """

    def __init__(self, epoch: int) -> None:
        """Create a guard that waits for the fence's answer."""
        super().__init__(epoch)
        self._fenced = False

    def confirm(self, now: float) -> None:
        """Record that the worker accepted the present token."""
        self._fenced = True

    def unconfirm(self) -> None:
        """Record that the worker has not accepted the present token."""
        self._fenced = False

    def may_dispatch(self, now: float) -> bool:
        """Tell whether the worker accepted the present token."""
        return self._fenced and not self._revoked
