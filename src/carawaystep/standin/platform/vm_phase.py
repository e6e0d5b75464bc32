"""True states of a VM on the stand-in platform."""

from __future__ import annotations

from enum import StrEnum


class VmPhase(StrEnum):
    """States that a test can set; the list shows no VM that is gone."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"
