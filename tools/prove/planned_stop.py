"""Observation of a planned stop of an entry."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """Times and exit code of an entry stopped with SIGTERM.

    :param entry: name of the entry
    :param url: its base URL
    :param sigterm_at: time of SIGTERM, seconds of the monotonic clock
    :param ended_at: when the process ended or the wait for it timed out, on
        the same clock
    :param exit_code: its exit code, None when it had to be killed
    """

    entry: str
    url: str
    sigterm_at: float
    ended_at: float
    exit_code: int | None
