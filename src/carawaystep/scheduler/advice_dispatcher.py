"""Distribution of advice requests over the members."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from carawaystep.cluster.messages import ForwardedAdviceRequest

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from carawaystep.planner.advice_request import AdviceRequest
    from carawaystep.scheduler.member_session import MemberSession


class AdviceDispatcher:
    """Sends advice requests to members and counts the open ones of each.

    The placement service accepts one open request from each machine, so
    spreading them over several members shortens the wait.
    """

    def __init__(self, term: int) -> None:
        """Create a dispatcher without open requests.

        :param term: term of the leader that sends the requests
        """
        self._term = term
        self._open_requests: Counter[str] = Counter()

    async def dispatch(
        self,
        requests: Iterable[AdviceRequest],
        sessions: Mapping[str, MemberSession],
        now: float,
    ) -> None:
        """Send each request to the available member with the fewest open.

        Without an available member nothing is sent; the planner repeats
        requests that get no answer.

        :param requests: requests of the planner
        :param sessions: sessions with all members, by member name
        :param now: current time in seconds, monotonic
        """
        available = [n for n, s in sessions.items() if s.available(now)]
        if not available:
            return
        for request in requests:
            name = min(available, key=lambda n: self._open_requests[n])
            self._open_requests[name] += 1
            await sessions[name].send(
                ForwardedAdviceRequest(self._term, request)
            )

    def record_answer(self, member: str) -> None:
        """Count one open request of a member as answered."""
        self._open_requests[member] = max(0, self._open_requests[member] - 1)
