"""Ownership by a time lease, for workers that cannot fence."""

from __future__ import annotations

from carawaystep.worker.ownership_guard import OwnershipGuard


class LeaseGuard(OwnershipGuard):
    """Ownership that ends by the owner's monotonic clock."""

    def __init__(self, epoch: int, lease_s: float, margin_s: float) -> None:
        """Create a guard without a confirmed lease.

        :param epoch: epoch of the ownership row
        :param lease_s: seconds from the sending of a renewal
        :param margin_s: seconds kept free for drift between clocks
        """
        super().__init__(epoch)
        self._usable_s = lease_s - margin_s
        self._confirmed_at: float | None = None

    def confirm(self, now: float) -> None:
        """Record a renewal that was sent at ``now`` and answered."""
        self._confirmed_at = now

    def unconfirm(self) -> None:
        """Record that no lease covers the present token."""
        self._confirmed_at = None

    def may_dispatch(self, now: float) -> bool:
        """Tell whether the lease, less the margin, still runs."""
        if self._revoked or self._confirmed_at is None:
            return False
        return now - self._confirmed_at < self._usable_s
