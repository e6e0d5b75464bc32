"""Tests of requests, the admission queue and the retry budget."""

from __future__ import annotations

from testtools import ExpectedException
from testtools import TestCase

from carawaystep.document.service_kind import ServiceKind
from carawaystep.document.service_spec import ServiceSpec
from carawaystep.errors.broken_invariant import BrokenInvariant
from carawaystep.request.admission_queue import AdmissionQueue
from carawaystep.request.outcome_reason import OutcomeReason
from carawaystep.request.reply import Reply
from carawaystep.request.request import Request
from carawaystep.request.retry_budget import RetryBudget
from carawaystep.worker.resources import Resources


def _spec(idempotent: bool, urgency: int = 50) -> ServiceSpec:
    return ServiceSpec(
        service=f"s{urgency}",
        version=1,
        team="t",
        kind=ServiceKind.LATENCY_CRITICAL,
        urgency=urgency,
        needs=Resources(1.0),
        deadline_s=2.0,
        idempotent=idempotent,
        max_body_bytes=10,
        queue_limit=2,
        run_s=None,
        due_s=1.0,
        max_attempts=1,
        evictable=False,
        replicas=0,
    )


def _request(idempotent: bool) -> Request:
    return Request("r1", _spec(idempotent), "k", b"", 10.0)


class RequestTest(TestCase):
    """Dispatches, lost answers and replies."""

    def test_non_idempotent_request_is_not_retried_after_lost_answer(
        self,
    ) -> None:
        """Guards against a non-idempotent request that runs twice."""
        request = _request(False)
        request.begin_dispatch(0.0)
        request.mark_outcome_unknown()
        self.assertFalse(request.may_dispatch(1.0))
        with ExpectedException(BrokenInvariant):
            request.begin_dispatch(1.0)

    def test_refused_dispatch_may_be_repeated(self) -> None:
        """Guards against giving up although the refused request never ran."""
        request = _request(False)
        first_id = request.begin_dispatch(0.0)
        request.mark_dispatch_refused()
        self.assertNotEqual(first_id, request.begin_dispatch(1.0))

    def test_refused_retry_does_not_undo_lost_answer(self) -> None:
        """Guards against the reply "not run" after a first dispatch ran."""
        request = _request(True)
        request.begin_dispatch(0.0)
        request.mark_outcome_unknown()
        request.begin_dispatch(1.0)
        request.mark_dispatch_refused()
        self.assertTrue(request.may_have_run)
        with ExpectedException(BrokenInvariant):
            request.finish(Reply.not_run(OutcomeReason.NO_ROOM, ""))

    def test_second_reply_is_rejected(self) -> None:
        """Guards against a late answer that replaces the sent reply."""
        request = _request(True)
        request.finish(Reply.answered(b"1"))
        with ExpectedException(BrokenInvariant):
            request.finish(Reply.answered(b"2"))


class AdmissionQueueTest(TestCase):
    """Order and limits of waiting requests."""

    def test_least_urgent_is_shed(self) -> None:
        """Guards against shedding urgent requests in an overload."""
        queue = AdmissionQueue(2)
        low = queue.create_ticket(_spec(True, 10), 5.0)
        high = queue.create_ticket(_spec(True, 90), 9.0)
        middle = queue.create_ticket(_spec(True, 50), 7.0)
        self.assertIsNone(queue.offer(low, 10))
        self.assertIsNone(queue.offer(high, 10))
        self.assertEqual(low, queue.offer(middle, 10))
        self.assertEqual(high, queue.head)

    def test_service_limit(self) -> None:
        """Guards against a service that fills the whole queue."""
        queue = AdmissionQueue(100)
        spec = _spec(True)
        for _ in range(2):
            queue.offer(queue.create_ticket(spec, 5.0), spec.queue_limit)
        late = queue.create_ticket(spec, 5.0)
        self.assertEqual(late, queue.offer(late, spec.queue_limit))
        self.assertTrue(queue.remove(queue.head or late))
        self.assertIsNone(queue.offer(late, spec.queue_limit))


class RetryBudgetTest(TestCase):
    """Ratio of retries to requests."""

    def test_retries_are_a_share_of_requests(self) -> None:
        """Guards against retries that amplify an overload."""
        budget = RetryBudget(0.1)
        taken = 0
        for _ in range(1000):
            budget.record_request()
            taken += budget.try_consume()
        self.assertTrue(100 <= taken <= 103, taken)
