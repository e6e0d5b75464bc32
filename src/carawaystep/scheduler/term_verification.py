"""Proof that a leader was not replaced, for the grants that it gives."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.leadership.leadership import LEADER_LEASE_S
from carawaystep.leadership.term_quorum import TermQuorum
from carawaystep.leadership.voter import Voter

if TYPE_CHECKING:
    from carawaystep.leadership.predecessors import Predecessors
    from carawaystep.leadership.voter import VoterSet
    from carawaystep.scheduler.voter_repository import VoterRepository

# Members come and go in groups. Voters are stored once that has not happened
# for this long.
_SETTLE_S = 0.3
# A silent member stays a voter for this long: the members that a cut-off
# leader still hears must not become the only voters.
_VOTER_SILENCE_S = LEADER_LEASE_S


class TermVerification:
    """Keeps the voters of a term stored, and counts their answers.

    While the store is away, a leader goes on to give grants only as long as a
    majority of the voters follows it. A leader that was cut off together with
    its availability zone has none, so that its successor does not have to wait
    for the end of its lease.
    """

    def __init__(
        self, repository: VoterRepository, predecessors: Predecessors
    ) -> None:
        """Create the state of a term that counts on no voter yet.

        :param repository: loads and stores the voters
        :param predecessors: the earlier leaders, which may count on the
            voters that are stored at the election
        """
        self._repository = repository
        self._predecessors = predecessors
        self._quorum = TermQuorum(())
        # Sets on which earlier leaders may count, None while not known.
        self._earlier: list[VoterSet] | None = None
        # None while not known.
        self._stored: list[VoterSet] | None = None
        # Incarnation and time of the last answer of each member, by address.
        self._incarnations: dict[str, str] = {}
        self._answered_at: dict[str, float] = {}
        self._voters: VoterSet = frozenset()
        self._changed_at = 0.0

    @property
    def verified_at(self) -> float:
        """Return the last time at which voters confirmed the term.

        :returns: seconds of the leader's clock, minus infinity if never
        """
        return self._quorum.verified_at

    async def load(self) -> list[VoterSet] | None:
        """Read the voters on which the predecessors may count.

        :returns: sets of voters, None if they are not known
        """
        self._earlier = self._stored = await self._repository.load()
        self._quorum = TermQuorum(self._earlier or ())
        return self._earlier

    def record_answer(
        self, address: str, incarnation: str, sent_at: float, now: float
    ) -> None:
        """Record that a member followed the term when it got a heartbeat.

        :param address: address of the member
        :param incarnation: id of its process; one of an earlier version
            states none and is no voter
        :param sent_at: when the leader sent the heartbeat, seconds of its
            clock
        :param now: current time in seconds, monotonic
        """
        if not incarnation:
            return
        self._incarnations[address] = incarnation
        self._answered_at[address] = now
        self._quorum.record_answer(Voter(address, incarnation), sent_at)

    async def update(self, now: float) -> None:
        """Store the voters if they have changed; a failure is not retried.

        :param now: current time in seconds, monotonic
        """
        if now > self._predecessors.stop_time:
            self._earlier = []
        if self._earlier is None:
            return
        voters = self._current_voters(now)
        if voters != self._voters:
            self._voters = voters
            self._changed_at = now
        if not voters or now - self._changed_at < _SETTLE_S:
            return
        wanted = [*self._earlier, voters]
        if wanted == self._stored:
            return
        self._quorum.propose(voters)
        # What is stored is not known until the answer.
        self._stored = None
        if await self._repository.store(wanted):
            self._stored = wanted
            self._quorum.accept(voters)

    def _current_voters(self, now: float) -> VoterSet:
        return frozenset(
            Voter(address, self._incarnations[address])
            for address, answered_at in self._answered_at.items()
            if now - answered_at < _VOTER_SILENCE_S
        )
