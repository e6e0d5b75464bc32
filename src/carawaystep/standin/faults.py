"""Faults that a test switches on."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults of one stand-in; all are off by default.

    :param delay_s: added to each call, half before and half after its effect
    :param refuse: calls are refused and have no effect
    :param freeze_s: for so long nothing is processed or answered
    :param lag_s: further age of lists and reports
    :param lose_answers: number of following calls with an effect whose
        answer is lost; -1 for all
    """

    delay_s: float = 0.0
    refuse: bool = False
    freeze_s: float = 0.0
    lag_s: float = 0.0
    lose_answers: int = 0
