"""The answers of members that show a leader that it was not replaced."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from carawaystep.leadership.voter import majority

if TYPE_CHECKING:
    from collections.abc import Sequence

    from carawaystep.leadership.voter import Voter
    from carawaystep.leadership.voter import VoterSet


class TermQuorum:
    """Tells until when a majority of the voters followed a term.

    A new leader reads the stored sets of voters. Once enough voters of each
    set follow it, no earlier leader has a majority any more. An earlier leader
    therefore counts only on sets that are stored for certain: while it is not
    known which of several sets is stored, it needs a majority of each.
    """

    def __init__(self, stored: Sequence[VoterSet]) -> None:
        """Create the state at the start of a term.

        :param stored: stored sets of voters; the last one is used until
            another is stored
        """
        self._required = list(stored[-1:])
        # Last heartbeat of the leader that each voter has answered.
        self._answered: dict[Voter, float] = {}

    def record_answer(self, voter: Voter, sent_at: float) -> None:
        """Record that a voter followed the term when it got a heartbeat.

        :param sent_at: when the leader sent the heartbeat, seconds of its
            clock
        """
        last = self._answered.get(voter, -inf)
        self._answered[voter] = max(last, sent_at)

    def propose(self, voters: VoterSet) -> None:
        """Need a majority of another set too, which may be stored soon."""
        if voters not in self._required:
            self._required.append(voters)

    def accept(self, voters: VoterSet) -> None:
        """Need a majority of a set only, which is known to be stored."""
        self._required = [voters]

    @property
    def verified_at(self) -> float:
        """Return the last time at which the term was not replaced.

        :returns: seconds of the leader's clock, minus infinity if unknown
        """
        return min(
            (self._majority_answered_at(voters) for voters in self._required),
            default=-inf,
        )

    def _majority_answered_at(self, voters: VoterSet) -> float:
        times = sorted(
            (self._answered.get(voter, -inf) for voter in voters), reverse=True
        )
        needed = majority(voters)
        return times[needed - 1] if needed <= len(times) else -inf
