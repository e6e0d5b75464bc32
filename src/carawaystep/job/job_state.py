"""States of a job."""

from __future__ import annotations

from enum import StrEnum


class JobState(StrEnum):
    """Where a job is in its life.

    ``ASSIGNED`` covers starting and running, so that a start costs one write
    to the platform.
    """

    QUEUED = "queued"
    ASSIGNED = "assigned"
    CHECKPOINTING = "checkpointing"
    DONE = "done"
    PARKED = "parked"
    CANCELLING = "cancelling"
    CANCELLED = "cancelled"
