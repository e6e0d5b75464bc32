"""Tests of the calls of members."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING
from unittest.mock import create_autospec

from testtools import TestCase

from carawaystep.cluster.messages import CallReply
from carawaystep.cluster.messages import Cancel
from carawaystep.cluster.messages import QueryState
from carawaystep.cluster.messages import Submit
from carawaystep.planner.refusal import Refusal
from carawaystep.planner.room_forecast import LaneForecast
from carawaystep.planner.room_forecast import RoomForecast
from carawaystep.scheduler.member_calls import MemberCalls
from carawaystep.scheduler.member_session import MemberSession
from carawaystep.workflow.step_spec import StepSpec
from carawaystep.workflow.workflow_state import WorkflowState
from tests.planner.planners import new_planner
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from collections.abc import Awaitable

_SPEC = workflow_spec(StepSpec(1, cpu_millis=1000))


class MemberCallsTest(TestCase):
    """Replies to submissions, cancellations and queries."""

    def setUp(self) -> None:
        """Create a term that was confirmed at second 0."""
        super().setUp()
        self.planner = new_planner()
        self.session = create_autospec(MemberSession, instance=True)
        self.plan_requested = asyncio.Event()
        context = SimpleNamespace(confirmation_age=lambda now: now)
        self.calls = MemberCalls(
            self.planner,
            context,  # type: ignore[arg-type]
            self.plan_requested,
        )

    def test_submission_is_answered_once_it_is_stored(self) -> None:
        """Guards against the acceptance of a workflow that gets lost."""
        self.assertEqual([], self._submit(1, now=0.1))
        self.assertTrue(self.plan_requested.is_set())
        self.assertEqual(
            [CallReply(1, True, WorkflowState.PENDING)],
            self._publish(WorkflowState.PENDING),
        )
        self.assertEqual([], self._publish(WorkflowState.RUNNING))

    def test_repeated_submission_gets_the_published_state(self) -> None:
        """Guards against a second workflow with the same id."""
        self._publish(WorkflowState.RUNNING)
        self.assertEqual(
            [CallReply(2, True, WorkflowState.RUNNING)],
            self._submit(2, now=0.1),
        )
        self.assertIsNone(self.planner.state(_SPEC.id))

    def test_new_submission_is_refused_while_the_store_is_away(self) -> None:
        """Guards against a wait for a commit that will not come."""
        self.assertEqual(
            [CallReply(1, False, refused=True)], self._submit(1, now=0.9)
        )
        self.assertIsNone(self.planner.state(_SPEC.id))

    def test_submission_that_may_be_stored_is_not_refused(self) -> None:
        """Guards against a refused workflow that runs after all."""
        self._submit(1, now=0.1)
        self.assertEqual(
            [CallReply(2, False, refused=False)], self._submit(2, now=0.9)
        )

    def test_leader_refuses_only_ids_that_it_does_not_know(self) -> None:
        """Guards against refusing what is stored, or may be.

        Neither does a forecast decide that it has not renewed.
        """
        lane = LaneForecast("desk", 0, False, 5.0, 1000)
        self.calls.admission.set_forecast(RoomForecast(0.0, (lane,)))
        refused = CallReply(1, False, refused=True, refusal=Refusal(4.9, 0.75))
        self.assertEqual([refused], self._submit(1, now=0.1))
        self.assertIsNone(self.planner.state(_SPEC.id))
        self.assertEqual([], self._submit(2, now=0.1, may_be_stored=True))
        self.assertEqual([], self._submit(3, now=0.1))
        self._publish(WorkflowState.PENDING)
        self.assertTrue(self._submit(4, now=0.1)[0].stored)

    def test_old_forecast_refuses_nothing_at_the_leader(self) -> None:
        """Guards against a leader that could not renew its forecast."""
        lane = LaneForecast("desk", 0, False, 5.0, 1000)
        self.calls.admission.set_forecast(RoomForecast(-2.0, (lane,)))
        self.assertEqual([], self._submit(1, now=0.1))

    def test_cancellation_waits_for_a_final_state(self) -> None:
        """Guards against the confirmation of a cancellation not stored."""
        self._submit(1, now=0.1)
        self._publish(WorkflowState.PENDING)
        self.assertEqual([], self._cancel(2))
        self.assertEqual([], self._publish(WorkflowState.RUNNING))
        self.assertEqual(
            [CallReply(2, True, WorkflowState.CANCELLED)],
            self._publish(WorkflowState.CANCELLED),
        )
        self.assertEqual(
            [CallReply(3, True, WorkflowState.CANCELLED)], self._cancel(3)
        )

    def test_unknown_workflow_is_not_cancelled(self) -> None:
        """Guards against confirming a cancellation without a workflow."""
        self.assertEqual([CallReply(1, False)], self._cancel(1))

    def test_query_returns_only_published_states(self) -> None:
        """Guards against a state that a lost commit takes back."""
        self._submit(1, now=0.1)
        query = QueryState(2, _SPEC.id)
        self.assertEqual(
            [CallReply(2, False)],
            self._replies(self.calls.query(self.session, query)),
        )
        self._publish(WorkflowState.PENDING)
        self.assertEqual(
            [CallReply(2, True, WorkflowState.PENDING)],
            self._replies(self.calls.query(self.session, query)),
        )

    def _submit(
        self, number: int, now: float, may_be_stored: bool = False
    ) -> list[CallReply]:
        message = Submit(number, _SPEC, may_be_stored)
        return self._replies(self.calls.submit(self.session, message, now))

    def _cancel(self, number: int) -> list[CallReply]:
        message = Cancel(number, _SPEC.id)
        return self._replies(self.calls.cancel(self.session, message))

    def _publish(self, state: WorkflowState) -> list[CallReply]:
        self.calls.record_published({_SPEC.id: state})
        return self._replies(self.calls.reply_to_waiting({_SPEC.id: state}))

    def _replies(self, call: Awaitable[None]) -> list[CallReply]:
        """Return the messages that are sent during a call."""

        async def run() -> None:
            await call

        self.session.send.reset_mock()
        asyncio.run(run())
        return [sent.args[0] for sent in self.session.send.mock_calls]
