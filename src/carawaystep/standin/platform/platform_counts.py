"""Counters of the stand-in platform."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class PlatformCounts:
    """What the platform did since its start.

    :param reads: read calls served
    :param writes: rows and objects put or deleted
    :param conflicts: transactions that lost a race
    :param refused: calls beyond a rate limit
    """

    reads: int = 0
    writes: int = 0
    conflicts: int = 0
    refused: int = 0
