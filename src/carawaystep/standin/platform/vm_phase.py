"""Actual states of a VM on the stand-in platform."""

from __future__ import annotations

from enum import StrEnum


class VmPhase(StrEnum):
    """States that a test can set; the VM list omits VMs that are gone."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"
