"""Why a request was not run, or why its outcome is unknown."""

from __future__ import annotations

from enum import StrEnum


class OutcomeReason(StrEnum):
    """Machine-readable reason that accompanies an outcome.

    ``NO_ROOM`` means no free capacity, or no document of the service in
    force; ``SHED`` removed from a full queue; ``WORKER_SILENT`` no complete
    answer of the worker; ``PEER_SILENT`` no answer of the peer, or no link to
    send the request over; ``DUPLICATE`` an idempotency key that is in use.
    """

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
