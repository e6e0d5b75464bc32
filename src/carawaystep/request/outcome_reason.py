"""Why a request was not run, or why its outcome is unknown."""

from __future__ import annotations

from enum import StrEnum


class OutcomeReason(StrEnum):
    """Machine-readable reason that accompanies an outcome."""

    NONE = "none"
    NO_ROOM = "no-room"
    SHED = "shed"
    DEADLINE = "deadline"
    DRAINING = "draining"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    WORKER_REFUSED = "worker-refused"
    WORKER_FAILED = "worker-failed"
    WORKER_SILENT = "worker-silent"
    PEER_SILENT = "peer-silent"
    DUPLICATE = "duplicate"
