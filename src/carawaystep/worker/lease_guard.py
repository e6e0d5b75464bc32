"""Ownership guard with a time lease, for workers without fencing.

Not used by the entry yet, which gives no work to workers without fencing.
"""

from __future__ import annotations

from carawaystep.worker.ownership_guard import OwnershipGuard


class LeaseGuard(OwnershipGuard):
    """Ownership that expires by the owner's monotonic clock."""

    def __init__(self, epoch: int, lease_s: float, margin_s: float) -> None:
        """Create a guard without a confirmed lease.

        :param epoch: epoch of the ownership row
        :param lease_s: length of a lease in seconds, from the time at which
            its renewal is sent
        :param margin_s: seconds subtracted to allow for clock drift
        """
        super().__init__(epoch)
        self._usable_lease_s = lease_s - margin_s
        self._confirmed_at: float | None = None

    def confirm(self, now: float) -> None:
        """Record a renewal that was sent at ``now`` and accepted."""
        self._confirmed_at = now

    def require_confirmation(self) -> None:
        """Block dispatch until the lease is renewed."""
        self._confirmed_at = None

    def may_dispatch(self, now: float) -> bool:
        """Return whether the lease, minus the margin, has not expired."""
        if self._revoked or self._confirmed_at is None:
            return False
        return now - self._confirmed_at < self._usable_lease_s
