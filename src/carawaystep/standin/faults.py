"""Faults that a test injects into a stand-in."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults of one stand-in; none by default.

    :param delay_s: seconds added to each call, half before and half after its
        effect
    :param refuse: True to refuse calls without any effect
    :param freeze_s: seconds during which no call is processed or answered
    :param lag_s: seconds added to the lags of the VM list, the reports and the
        usage
    :param lose_answers: number of next calls, GET excluded, that take effect
        but whose answers are lost; -1 for all
    """

    delay_s: float = 0.0
    refuse: bool = False
    freeze_s: float = 0.0
    lag_s: float = 0.0
    lose_answers: int = 0
