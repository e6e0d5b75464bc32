"""Distribution of advice requests over the members."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.cluster.messages import ForwardedAdviceRequest

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from carawaystep.planner.advice_request import AdviceRequest
    from carawaystep.scheduler.member_session import MemberSession


# The service processes one request of a machine at a time. The second of a
# member is sent without a pause after the first.
_MAX_OPEN_PER_MEMBER = 2


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
        # Times at which the open requests of a member count as lost.
        self._open_requests: dict[str, list[float]] = {}

    async def dispatch(
        self,
        requests: Iterable[AdviceRequest],
        sessions: Mapping[str, MemberSession],
        now: float,
    ) -> list[AdviceRequest]:
        """Send each request to the available member with the fewest open.

        None is sent to a member with several open requests: there it would
        wait for longer than its time limit.

        :param requests: requests of the planner
        :param sessions: sessions with all members, by member name
        :param now: current time in seconds, monotonic
        :returns: requests that were not sent
        """
        available = [n for n, s in sessions.items() if s.available(now)]
        for name in available:
            self._forget_lost_requests(name, now)
        unsent: list[AdviceRequest] = []
        for request in requests:
            member = self._choose_member(available)
            if member is None:
                unsent.append(request)
                continue
            self._open_requests[member].append(now + request.timeout_s)
            await sessions[member].send(
                ForwardedAdviceRequest(self._term, request)
            )
        return unsent

    def record_answer(self, member: str) -> None:
        """Count one open request of a member as answered."""
        open_requests = self._open_requests.get(member)
        if open_requests:
            open_requests.pop(0)

    def _forget_lost_requests(self, member: str, now: float) -> None:
        self._open_requests[member] = [
            lost_at
            for lost_at in self._open_requests.get(member, ())
            if now < lost_at
        ]

    def _choose_member(self, available: list[str]) -> str | None:
        """Return the member with the fewest open requests, if it has few."""
        if not available:
            return None
        name = min(available, key=lambda n: len(self._open_requests[n]))
        if len(self._open_requests[name]) >= _MAX_OPEN_PER_MEMBER:
            return None
        return name
