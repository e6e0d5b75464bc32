"""States in the lifecycle of a job."""

from __future__ import annotations

from enum import StrEnum


class JobState(StrEnum):
    """State of a job, as stored.

    ``ASSIGNED`` covers both starting and running, so that starting a job
    takes a single write to the platform.
    """

    QUEUED = "queued"
    ASSIGNED = "assigned"
    CHECKPOINTING = "checkpointing"
    DONE = "done"
    PARKED = "parked"
    CANCELLING = "cancelling"
    CANCELLED = "cancelled"
