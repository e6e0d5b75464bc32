"""Tests of requests to the placement service."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING
from unittest.mock import create_autospec

from result import Err
from result import Ok
from testtools import TestCase

from carawaystep.availability_zone.evacuated_zones import EvacuatedZones
from carawaystep.cluster.messages import AdviceReply
from carawaystep.cluster.messages import ForwardedAdviceRequest
from carawaystep.fleet.placement_advisor import PlacementAdvisor
from carawaystep.planner.advice_request import AdviceRequest
from carawaystep.scheduler.advice_dispatcher import AdviceDispatcher
from carawaystep.scheduler.advice_proxy import AdviceProxy
from carawaystep.scheduler.lease_extensions import LeaseExtensions
from carawaystep.scheduler.member_context import MemberContext
from carawaystep.scheduler.member_session import MemberSession
from tests.planner.planners import RecordingLog

if TYPE_CHECKING:
    from result import Result

    from carawaystep.cluster.messages import FromMember

_TERM = 5


def _request(step: int) -> AdviceRequest:
    return AdviceRequest("a" * 16, 0, step, [], 3.0)


class _Member(MemberContext):
    """Records the messages to the leader."""

    now = 0.0
    term = _TERM
    evacuated_zones = EvacuatedZones(in_force=False)
    lease_extensions = LeaseExtensions(
        SimpleNamespace(now=lambda: 0.0)  # type: ignore[arg-type]
    )

    def __init__(self) -> None:
        self.sent: list[FromMember] = []

    def holds_grant(self, term: int) -> bool:
        return True

    async def send(self, message: FromMember) -> bool:
        self.sent.append(message)
        return True


class _Advisor(PlacementAdvisor):
    """Records the highest number of concurrent requests."""

    def __init__(self, answer: Result[dict[str, str], str]) -> None:
        self.answer = answer
        self.max_open = 0
        self._open = 0

    async def ask(self, request: AdviceRequest) -> Result[dict[str, str], str]:
        self._open += 1
        self.max_open = max(self.max_open, self._open)
        await asyncio.sleep(0.001)
        self._open -= 1
        return self.answer

    async def close(self) -> None:
        return


class AdviceDispatcherTest(TestCase):
    """Distribution over the members."""

    def test_requests_are_spread_over_available_members(self) -> None:
        """Guards against requests that queue up at a single member."""
        sessions = {
            name: create_autospec(MemberSession, instance=True)
            for name in ("m1", "m2", "m3")
        }
        sessions["m3"].available.return_value = False
        dispatcher = AdviceDispatcher(_TERM)
        requests = [_request(step) for step in range(4)]
        asyncio.run(dispatcher.dispatch(requests, sessions, 1.0))
        counts = [s.send.await_count for s in sessions.values()]
        self.assertEqual([2, 2, 0], counts)
        dispatcher.record_answer("m2")
        asyncio.run(dispatcher.dispatch([_request(9)], sessions, 1.0))
        self.assertEqual(3, sessions["m2"].send.await_count)

    def test_request_beyond_the_open_ones_is_not_sent(self) -> None:
        """Guards against requests that time out in the queue of a member.

        The planner makes them again when a member has answered.
        """
        session = create_autospec(MemberSession, instance=True)
        dispatcher = AdviceDispatcher(_TERM)
        requests = [_request(step) for step in range(3)]
        sessions = {"m1": session}
        unsent = asyncio.run(dispatcher.dispatch(requests, sessions, 1.0))
        self.assertEqual(requests[2:], unsent)
        self.assertEqual(
            requests, asyncio.run(dispatcher.dispatch(requests, {}, 1.0))
        )

    def test_lost_requests_do_not_count_as_open(self) -> None:
        """Guards against a member that gets no more after lost answers."""
        session = create_autospec(MemberSession, instance=True)
        dispatcher = AdviceDispatcher(_TERM)
        requests = [_request(step) for step in range(2)]
        sessions = {"m1": session}
        asyncio.run(dispatcher.dispatch(requests, sessions, 1.0))
        late = 1.0 + requests[0].timeout_s
        self.assertEqual(
            [], asyncio.run(dispatcher.dispatch(requests, sessions, late))
        )


class AdviceProxyTest(TestCase):
    """Queue of one member."""

    def _run_requests(
        self, answer: Result[dict[str, str], str], count: int, term: int
    ) -> tuple[_Member, _Advisor]:
        member, advisor = _Member(), _Advisor(answer)

        async def run() -> None:
            proxy = AdviceProxy(advisor, member, RecordingLog())
            for step in range(count):
                await proxy.enqueue(
                    ForwardedAdviceRequest(term, _request(step))
                )
            task = asyncio.create_task(proxy.run())
            await asyncio.sleep(0.3)
            task.cancel()

        asyncio.run(run())
        return member, advisor

    def test_requests_are_sent_one_at_a_time(self) -> None:
        """Guards against concurrent calls, which the service rejects."""
        member, advisor = self._run_requests(Ok({"w": "t"}), 5, _TERM)
        self.assertEqual(1, advisor.max_open)
        self.assertEqual(
            [{"w": "t"}] * 5,
            [m.tickets for m in member.sent if isinstance(m, AdviceReply)],
        )

    def test_failed_request_is_reported(self) -> None:
        """Guards against a step that waits forever for an answer."""
        member, _ = self._run_requests(Err("busy"), 1, _TERM)
        self.assertEqual(
            [AdviceReply(_TERM, _request(0), None)],
            member.sent,
        )

    def test_request_is_answered_at_once_when_queue_is_full(self) -> None:
        """Guards against a queue that grows without bound."""
        member, _ = self._run_requests(Ok({}), 70, _TERM)
        refused = [
            m
            for m in member.sent
            if isinstance(m, AdviceReply) and m.tickets is None
        ]
        self.assertEqual(6, len(refused))

    def test_request_of_an_earlier_term_is_dropped(self) -> None:
        """Guards against requests whose answers no leader waits for."""
        member, advisor = self._run_requests(Ok({}), 2, _TERM - 1)
        self.assertEqual(([], 0), (member.sent, advisor.max_open))
