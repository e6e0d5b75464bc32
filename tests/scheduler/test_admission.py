"""Tests of the refusal of submissions that cannot be done in time."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING

from result import Err
from testtools import TestCase

from carawaystep.cluster.messages import CallReply
from carawaystep.leadership.leadership import Leadership
from carawaystep.planner.refusal import find_refusal
from carawaystep.planner.refusal import Refusal
from carawaystep.planner.room_forecast import LaneForecast
from carawaystep.planner.room_forecast import RoomForecast
from carawaystep.scheduler.admission import Admission
from carawaystep.scheduler.call_outcome import CallOutcome
from carawaystep.scheduler.load_settings import LoadSettings
from carawaystep.scheduler.published_forecast import PublishedForecast
from carawaystep.scheduler.published_state_cache import PublishedStateCache
from carawaystep.scheduler.retry_schedule import retry_after_s
from carawaystep.scheduler.store_health import StoreHealth
from carawaystep.scheduler.workflow_service import WorkflowService
from carawaystep.store.table_failure import TableOutcomeUnknown
from carawaystep.workflow.step_spec import StepSpec
from carawaystep.workflow.workflow_state import WorkflowState
from tests.planner.planners import RecordingLog
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from carawaystep.scheduler.submission_answer import SubmissionAnswer
    from carawaystep.workflow.workflow_spec import WorkflowSpec

_STEP = StepSpec(4, cpu_millis=1000, memory_mb=1, estimated_s=1.0)
# Of use for 5.25 s; its tasks surely take half of the declared 1 s.
_SPEC = workflow_spec(_STEP, accepted_at_s=1000.0, priority=2)
_LATEST_START_S = 4.75
_LANE = LaneForecast("desk", 1, False, 5.0, 1000)
_FORECAST = RoomForecast(90.0, (_LANE,), {"bookings": 0.5})
_ON = LoadSettings(admission=True)


class RefusalTest(TestCase):
    """Decision on one submission."""

    def test_refused_only_if_every_start_is_too_late(self) -> None:
        """Guards against a refusal while there may be room in time."""
        self.assertEqual(
            Refusal(5.0, _LATEST_START_S),
            find_refusal(_SPEC, _FORECAST, 0.0, 0.0),
        )
        self.assertIsNone(find_refusal(_SPEC, _FORECAST, 0.3, 0.0))
        self.assertIsNotNone(find_refusal(_SPEC, _FORECAST, 0.3, 0.1))

    def test_nothing_is_refused_on_doubt(self) -> None:
        """Guards against refusing work that the forecast says nothing of."""
        for step, changes in (
            (replace(_STEP, long_running=True), {}),
            (_STEP, {"first_due_s": 1000.0}),
            (replace(_STEP, cpu_millis=900), {}),
            (replace(_STEP, fills=True), {}),
            (_STEP, {"priority": 0}),
            (_STEP, {"service": "other"}),
        ):
            spec = workflow_spec(step, **{"priority": 2, **changes})
            self.assertIsNone(find_refusal(spec, _FORECAST, 0.0, 0.0), spec)
        mixed = workflow_spec(
            _STEP, replace(_STEP, fills=True, estimated_s=0.0)
        )
        self.assertIsNone(find_refusal(mixed, _FORECAST, 0.0, 0.0))


class PublishedForecastTest(TestCase):
    """Age of the forecast at a member."""

    def test_old_forecast_decides_nothing(self) -> None:
        """Guards against a forecast that was delayed anywhere.

        It may be sent late, arrive late or be read after a suspension; an
        echo that is still to come is that of a replaced VM.
        """
        for sent_at, echoed_at, now, expected_age_s in (
            (90.5, 9.5, 10.0, 1.0),
            (92.0, 9.5, 10.0, None),
            (90.0, 9.5, 12.0, None),
            (90.0, 0.0, 10.0, None),
            (90.0, 11.0, 10.0, None),
        ):
            published = PublishedForecast()
            published.replace(_FORECAST, sent_at, echoed_at)
            current = published.current(now)
            age_s = None if current is None else current[1]
            self.assertEqual(expected_age_s, age_s)

    def test_forecast_of_an_earlier_term_is_forgotten(self) -> None:
        """Guards against the knowledge of a leader that was replaced."""
        published = PublishedForecast()
        published.replace(_FORECAST, 90.0, 10.0)
        published.start_term()
        self.assertIsNone(published.current(10.0))


class RetryScheduleTest(TestCase):
    """Return of callers that were turned away."""

    def test_callers_are_spread_over_the_time_of_use(self) -> None:
        """Guards against a crowd that returns together, or too late."""
        ids = [f"{number:016x}" for number in range(1000)]
        seconds = [retry_after_s(i, Refusal(9.0, 4.9)) for i in ids]
        self.assertEqual({1, 2, 3, 4}, set(seconds))
        largest_group = max(seconds.count(second) for second in (1, 2, 3, 4))
        self.assertLess(largest_group, 300)
        self.assertEqual(1, retry_after_s(ids[0], Refusal(9.0, -3.0)))


class _Member:
    """Member that passes submissions on and gets the given replies."""

    def __init__(self, settings: LoadSettings) -> None:
        self.admission = Admission(settings)
        self.published_states = PublishedStateCache()
        self.replies: list[CallReply | None] = []
        self.sent: list[tuple[WorkflowSpec, bool]] = []

    async def submit(
        self, spec: WorkflowSpec, timeout_s: float, may_be_stored: bool
    ) -> CallReply | None:
        self.sent.append((spec, may_be_stored))
        return self.replies.pop(0)


class SubmissionTest(TestCase):
    """Submissions at a node that has known all accepted ids for 20 s."""

    def setUp(self) -> None:
        """Create a node that follows a leader without room."""
        super().setUp()
        self.now = 30.0
        self.leadership = Leadership("edge-1", 1.0, 0.0)
        self._create(_ON)

    def _create(self, settings: LoadSettings) -> None:
        self.member = _Member(settings)
        self.member.published_states.replace_queue_counts({}, 10.0)
        self.member.admission.forecast.replace(_FORECAST, 90.0, self.now)
        self.leadership.record_heartbeat(5, "edge-2", 29.0, 0.1, self.now)

        async def transact(operations: object) -> object:
            return Err(TableOutcomeUnknown("no answer"))

        self.service = WorkflowService(
            self.member,  # type: ignore[arg-type]
            self.leadership,
            SimpleNamespace(transact=transact),  # type: ignore[arg-type]
            SimpleNamespace(  # type: ignore[arg-type]
                now=lambda: self.now, wall_now=lambda: 970.0 + self.now
            ),
            StoreHealth(RecordingLog(), 10.0),
        )

    def _submit(self, *replies: CallReply | None) -> SubmissionAnswer:
        self.member.replies = list(replies)
        return asyncio.run(self.service.submit(_SPEC))

    def test_refused_at_once_before_anything_is_sent(self) -> None:
        """Guards against a refused submission that may run."""
        answer = self._submit()
        self.assertEqual(CallOutcome.REFUSED, answer.outcome)
        self.assertEqual(Refusal(5.0, _LATEST_START_S), answer.refusal)
        self.assertEqual([], self.member.sent)

    def test_nothing_is_refused_unless_it_is_turned_on(self) -> None:
        """Guards against a new decision without its setting."""
        self._create(LoadSettings())
        answer = self._submit(CallReply(1, True))
        self.assertEqual(CallOutcome.ACCEPTED, answer.outcome)

    def test_accepted_id_is_never_refused(self) -> None:
        """Guards against a repeat after the answer was lost."""
        states = {_SPEC.id: WorkflowState.PENDING}
        self.member.published_states.update_states(states, 1)
        self.assertEqual(CallOutcome.ACCEPTED, self._submit().outcome)

    def test_leader_decides_while_accepted_ids_may_be_unknown(self) -> None:
        """Guards against refusing what another node or leader accepted.

        After a lost message, or under a new leader, the node does not know
        the ids that were accepted before.
        """
        states = {"a": WorkflowState.PENDING}
        self.member.published_states.update_states(states, 7)
        self.member.published_states.replace_queue_counts({}, self.now)
        answer = self._submit(CallReply(1, True))
        self.assertEqual(CallOutcome.ACCEPTED, answer.outcome)
        answer = self._submit(
            CallReply(1, False, refused=True, refusal=Refusal(6.0, 3.0))
        )
        self.assertEqual(CallOutcome.REFUSED, answer.outcome)
        self.assertEqual(Refusal(6.0, 3.0), answer.refusal)
        self.assertIn(answer.retry_after_s, (1, 2, 3))

    def test_attempt_of_unknown_outcome_is_not_followed_by_a_refusal(
        self,
    ) -> None:
        """Guards against a refused submission whose first attempt runs.

        The first one is passed on while there is no forecast, and neither
        the leader nor the store confirms it.
        """
        self.member.admission.forecast.start_term()
        self.assertEqual(CallOutcome.UNKNOWN, self._submit(None).outcome)
        self.member.admission.forecast.replace(_FORECAST, 90.0, self.now)
        answer = self._submit(CallReply(1, True))
        self.assertEqual(CallOutcome.ACCEPTED, answer.outcome)
        self.assertEqual([False, True], [sent for _, sent in self.member.sent])

    def test_accepted_id_is_not_refused_before_its_state_is_published(
        self,
    ) -> None:
        """Guards against a refusal right after the acceptance."""
        self.member.admission.forecast.start_term()
        self._submit(CallReply(1, True))
        self.member.admission.forecast.replace(_FORECAST, 90.0, self.now)
        answer = self._submit(CallReply(2, True))
        self.assertEqual(CallOutcome.ACCEPTED, answer.outcome)

    def test_forecast_is_not_used_without_its_leader(self) -> None:
        """Guards against a decision between two leaders."""
        self.leadership.record_resignation(5)
        self.assertEqual(CallOutcome.UNKNOWN, self._submit().outcome)

    def test_time_counts_from_the_first_attempt(self) -> None:
        """Guards against newcomers that pass those who were turned away.

        Once the use of the first attempt has ended, the id is a newcomer.
        """
        first_at_s = _SPEC.accepted_at_s
        self._submit()
        for elapsed_s, expected in ((2.0, 1000.0), (6.0, 1006.0)):
            accepted_at_s = first_at_s + elapsed_s
            spec = replace(_SPEC, accepted_at_s=accepted_at_s)
            restored = self.member.admission.restore_first_attempt(spec)
            self.assertEqual(expected, restored.accepted_at_s)

    def test_refused_attempt_does_not_settle_a_later_one(self) -> None:
        """Guards against refusing an id while an attempt may be stored.

        The leader is told not to refuse the second attempt, because the
        first one is still open.
        """
        refused = CallReply(1, False, refused=True, refusal=Refusal(6.0, 3.0))

        async def scenario() -> None:
            replies = [asyncio.Future[CallReply]() for _ in range(2)]
            waiting = iter(replies)

            async def submit(*_: object) -> CallReply:
                return await next(waiting)

            self.member.submit = submit  # type: ignore[assignment]
            first = asyncio.create_task(self.service.submit(_SPEC))
            await asyncio.sleep(0)
            self.now += 0.1
            second = asyncio.create_task(self.service.submit(_SPEC))
            await asyncio.sleep(0)
            replies[0].set_result(refused)
            self.assertEqual(CallOutcome.REFUSED, (await first).outcome)
            submissions = self.member.admission.open_submissions
            self.assertTrue(submissions.may_be_stored(_SPEC.id, self.now))
            replies[1].set_result(CallReply(2, True))
            self.assertEqual(CallOutcome.ACCEPTED, (await second).outcome)

        self.member.admission.forecast.start_term()
        asyncio.run(scenario())
