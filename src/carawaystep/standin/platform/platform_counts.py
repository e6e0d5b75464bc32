"""Counters of the stand-in platform."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class PlatformCounts:
    """Operations since the start of the platform.

    :param reads: read calls served
    :param writes: rows and objects put or deleted
    :param conflicts: transactions rejected because of a version conflict
    :param refused: calls rejected by a rate limit
    """

    reads: int = 0
    writes: int = 0
    conflicts: int = 0
    refused: int = 0
