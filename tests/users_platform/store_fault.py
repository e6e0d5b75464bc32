"""Faults of the store's stand-in."""

from __future__ import annotations

from enum import Enum


class StoreFault(Enum):
    """What the store does with the calls of one node or of all."""

    NONE = "none"
    # 503: nothing was done.
    REFUSE = "refuse"
    # 429: nothing was done.
    BUSY = "busy"
    # No answer, nothing done.
    SILENT = "silent"
    # The connection is closed within the answer, nothing done.
    RESET = "reset"
    # The call is carried out and not answered.
    LOSE_ANSWER = "lose-answer"
    # The call is carried out after a second and not answered.
    LATE = "late"
