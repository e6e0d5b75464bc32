"""Phase of a VM on the stand-in platform."""

from __future__ import annotations

from enum import StrEnum


class VmPhase(StrEnum):
    """Actual state of a VM, as a test sets it.

    The VM list shows it after a lag, as a ``VmState``, and omits VMs that are
    gone.
    """

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"
