"""Why a process campaigns for the leadership."""

from __future__ import annotations

from enum import StrEnum


class CampaignReason(StrEnum):
    """What is wrong with the leader that a process knows."""

    RESIGNED = "resigned"
    SILENT = "silent"
    # The store has not confirmed its term for too long.
    UNCONFIRMED = "unconfirmed"
