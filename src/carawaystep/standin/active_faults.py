"""The faults that a stand-in currently injects."""

from __future__ import annotations

from carawaystep.standin.faults import Faults


class ActiveFaults:
    """Decides which fault applies to a call.

    It tracks the state that changes with time and with calls: the end of a
    freeze, the number of answers still to lose and the count of refusals.
    """

    def __init__(self) -> None:
        """Start without faults."""
        self._faults = Faults()
        self._freeze_ends_at = 0.0
        self._answers_to_lose = 0
        self._refused_calls = 0

    @property
    def one_way_delay_s(self) -> float:
        """Return the delay of one direction of a call in seconds."""
        return self._faults.delay_s / 2

    @property
    def lag_s(self) -> float:
        """Return the seconds added to the lags of VM list, reports, usage."""
        return self._faults.lag_s

    @property
    def refused_calls(self) -> int:
        """Return the number of calls refused since the start."""
        return self._refused_calls

    def replace(self, faults: Faults, now: float) -> None:
        """Replace all faults; what is left of earlier ones is dropped.

        :param faults: new faults
        :param now: current monotonic time in seconds
        """
        self._faults = faults
        self._freeze_ends_at = now + faults.freeze_s
        self._answers_to_lose = faults.lose_answers

    def remaining_freeze_s(self, now: float) -> float:
        """Return the seconds for which the stand-in stays frozen."""
        return max(0.0, self._freeze_ends_at - now)

    def refuse_next_call(self) -> bool:
        """Return whether to refuse the next call, and count a refusal."""
        if not self._faults.refuse:
            return False
        self._refused_calls += 1
        return True

    def lose_next_answer(self) -> bool:
        """Return whether to lose the answer of the next call.

        A limited number of answers to lose is decremented.
        """
        if self._answers_to_lose == 0:
            return False
        if self._answers_to_lose > 0:
            self._answers_to_lose -= 1
        return True
