"""Questions to the placement service: their spread and their limits."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest.mock import create_autospec

from result import Err
from result import Ok
from testtools import TestCase

from carawaystep.cluster.messages import AdviceReply
from carawaystep.cluster.messages import ForwardedAdviceRequest
from carawaystep.fleet.placement_advisor import PlacementAdvisor
from carawaystep.planner.advice_request import AdviceRequest
from carawaystep.scheduler.advice_dispatcher import AdviceDispatcher
from carawaystep.scheduler.advice_proxy import AdviceProxy
from carawaystep.scheduler.member_context import MemberContext
from carawaystep.scheduler.member_session import MemberSession
from tests.planner.planners import SilentLog

if TYPE_CHECKING:
    from result import Result

    from carawaystep.cluster.messages import FromMember

_TERM = 5


def _request(step: int) -> AdviceRequest:
    return AdviceRequest("a" * 16, 0, step, [], 3.0)


class _Member(MemberContext):
    """Keeps what is sent to the leader."""

    now = 0.0
    term = _TERM

    def __init__(self) -> None:
        self.sent: list[FromMember] = []

    def holds_grant(self, term: int) -> bool:
        return True

    async def send(self, message: FromMember) -> bool:
        self.sent.append(message)
        return True


class _Advisor(PlacementAdvisor):
    """Counts the questions that are open at once."""

    def __init__(self, answer: Result[dict[str, str], str]) -> None:
        self.answer = answer
        self.most = 0
        self._open = 0

    async def ask(self, request: AdviceRequest) -> Result[dict[str, str], str]:
        self._open += 1
        self.most = max(self.most, self._open)
        await asyncio.sleep(0.001)
        self._open -= 1
        return self.answer

    async def close(self) -> None:
        return


class AdviceDispatcherTest(TestCase):
    """Spread over the members."""

    def test_questions_are_spread_over_available_members(self) -> None:
        """Guards against questions that wait for one machine's turn."""
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


class AdviceProxyTest(TestCase):
    """One question of a machine at a time."""

    def _ask(
        self, answer: Result[dict[str, str], str], count: int, term: int
    ) -> tuple[_Member, _Advisor]:
        member, advisor = _Member(), _Advisor(answer)

        async def run() -> None:
            proxy = AdviceProxy(advisor, member, SilentLog())
            for step in range(count):
                await proxy.enqueue(
                    ForwardedAdviceRequest(term, _request(step))
                )
            task = asyncio.create_task(proxy.run())
            await asyncio.sleep(0.3)
            task.cancel()

        asyncio.run(run())
        return member, advisor

    def test_questions_are_asked_one_after_another(self) -> None:
        """Guards against calls that the service turns away."""
        member, advisor = self._ask(Ok({"w": "t"}), 5, _TERM)
        self.assertEqual(1, advisor.most)
        self.assertEqual(
            [{"w": "t"}] * 5,
            [m.tickets for m in member.sent if isinstance(m, AdviceReply)],
        )

    def test_failed_question_is_reported(self) -> None:
        """Guards against a step that waits for an answer for ever."""
        member, _ = self._ask(Err("busy"), 1, _TERM)
        self.assertEqual(
            [AdviceReply(_TERM, _request(0), None)],
            member.sent,
        )

    def test_question_too_many_is_answered_at_once(self) -> None:
        """Guards against a queue that grows without bound."""
        member, _ = self._ask(Ok({}), 70, _TERM)
        refused = [
            m
            for m in member.sent
            if isinstance(m, AdviceReply) and m.tickets is None
        ]
        self.assertEqual(6, len(refused))

    def test_question_of_an_earlier_leader_is_dropped(self) -> None:
        """Guards against answers to a leader that leads no longer."""
        member, advisor = self._ask(Ok({}), 2, _TERM - 1)
        self.assertEqual(([], 0), (member.sent, advisor.most))
