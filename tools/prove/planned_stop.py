"""A planned stop of an entry."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """What was seen of a planned stop.

    :param entry: name of the entry
    :param url: its base URL
    :param begun_at: time of SIGTERM, seconds of the monotonic clock
    :param ended_at: when the process had ended, on the same clock
    :param exit_code: its exit code, None when it had to be killed
    """

    entry: str
    url: str
    begun_at: float
    ended_at: float
    exit_code: int | None
