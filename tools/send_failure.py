"""Why a call has no response."""

from __future__ import annotations

from enum import StrEnum


class SendFailure(StrEnum):
    """Whether the other side may have seen the call."""

    NOT_SENT = "not-sent"
    BROKEN = "broken"
