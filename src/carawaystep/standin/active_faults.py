"""Decisions about the faults of a stand-in."""

from __future__ import annotations

from carawaystep.standin.faults import Faults


class FaultPlan:
    """The faults now switched on and what is left of them."""

    def __init__(self) -> None:
        """Create a plan without faults."""
        self._faults = Faults()
        self._frozen_until = 0.0
        self._answers_to_lose = 0
        self._refused_calls = 0

    @property
    def half_delay_s(self) -> float:
        """Return the delay of each way of a call."""
        return self._faults.delay_s / 2

    @property
    def lag_s(self) -> float:
        """Return the further age of lists and reports."""
        return self._faults.lag_s

    @property
    def refused_calls(self) -> int:
        """Return the number of calls that were refused."""
        return self._refused_calls

    def replace(self, faults: Faults, now: float) -> None:
        """Switch on these faults and end all earlier ones.

        :param faults: faults from now on
        :param now: present time, seconds of a monotonic clock
        """
        self._faults = faults
        self._frozen_until = now + faults.freeze_s
        self._answers_to_lose = faults.lose_answers

    def frozen_s(self, now: float) -> float:
        """Return how long nothing is processed or answered from now on."""
        return max(0.0, self._frozen_until - now)

    def refuses(self) -> bool:
        """Tell whether a call is refused, and count it."""
        if not self._faults.refuse:
            return False
        self._refused_calls += 1
        return True

    def loses_answer(self) -> bool:
        """Tell whether the answer of a call is lost, and count it."""
        if self._answers_to_lose == 0:
            return False
        if self._answers_to_lose > 0:
            self._answers_to_lose -= 1
        return True
