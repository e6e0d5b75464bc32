"""Kinds of calls without a response."""

from __future__ import annotations

from enum import StrEnum


class SendFailure(StrEnum):
    """Why a call has no response.

    After NOT_SENT the server cannot have received the call, after BROKEN it
    may have.
    """

    NOT_SENT = "not-sent"
    BROKEN = "broken"
