"""Spread of questions to the placement service over the members."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from carawaystep.cluster.messages import Consult

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from carawaystep.planner.advice_request import AdviceRequest
    from carawaystep.scheduler.member_session import MemberSession


class Consultations:
    """Open questions by member.

    The service serves each machine one question at a time, so that several
    members get answers sooner than one.
    """

    def __init__(self, term: int) -> None:
        """Create a record without questions.

        :param term: term of the leader that asks
        """
        self._term = term
        self._open: Counter[str] = Counter()

    async def send(
        self,
        requests: Iterable[AdviceRequest],
        sessions: Mapping[str, MemberSession],
        now: float,
    ) -> None:
        """Send each question to the member with the fewest open ones.

        A question that is not sent is asked again by the planner.

        :param now: present time, seconds of a steady clock
        """
        available = [n for n, s in sessions.items() if s.available(now)]
        if not available:
            return
        for request in requests:
            name = min(available, key=lambda n: self._open[n])
            self._open[name] += 1
            await sessions[name].send(Consult(self._term, request))

    def answered(self, member: str) -> None:
        """Note that a member's question was answered."""
        self._open[member] = max(0, self._open[member] - 1)
