"""States of a VM in the platform's list."""

from __future__ import annotations

from enum import StrEnum


class VmState(StrEnum):
    """Whether a VM stays in the fleet."""

    LIVE = "live"
    LEAVING = "leaving"
