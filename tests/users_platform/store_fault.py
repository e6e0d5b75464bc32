"""Faults that the stand-in of the store can inject."""

from __future__ import annotations

from enum import Enum


class StoreFault(Enum):
    """Fault of the calls of one node or of all nodes."""

    NONE = "none"
    # Status 503; the call is not carried out.
    REFUSE = "refuse"
    # Status 429; the call is not carried out.
    BUSY = "busy"
    # No answer; the call is not carried out.
    SILENT = "silent"
    # The connection is closed during the response; the call is not carried
    # out.
    RESET = "reset"
    # The call is carried out without an answer.
    LOSE_ANSWER = "lose-answer"
    # The call is carried out one second later and gets no answer.
    LATE = "late"
