"""Tests of requests to the placement service under the terms in force."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.fleet.order import StartOrder
from carawaystep.routing.ticket_terms import TicketTerms
from carawaystep.workflow.step_spec import StepSpec
from tests.planner.planners import new_planner
from tests.planner.planners import report
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from carawaystep.planner.advice_request import AdviceRequest

_QUICK = TicketTerms(validity_s=5.0, decision_s=0.02, per_worker_s=0.01)


class TicketTermsTest(TestCase):
    """Requests and starts of a queue that the manifest gives terms."""

    def setUp(self) -> None:
        """Create a planner with many idle workers."""
        super().setUp()
        self.names = [f"w{number:02}" for number in range(40)]
        self.planner = new_planner()
        self.planner.update_worker_list(
            [worker_record(name) for name in self.names], 0.0
        )

    def _admit(
        self,
        terms: TicketTerms | None,
        id: str = "a" * 16,
        **step: object,
    ) -> None:
        values: dict[str, object] = {"count": 2, "cpu_millis": 1000, **step}
        spec = workflow_spec(
            StepSpec(**values),  # type: ignore[arg-type]
            id=id,
            permit_s=_QUICK.validity_s,
        )
        self.planner.admit(spec, stored=True)
        if terms is not None:
            self.planner.set_ticket_terms({spec.queue: terms})

    def _plan(self, now: float) -> list[StartOrder]:
        for name in self.names:
            self.planner.handle_report(report(name), now)
        self.planner.plan(now, 2000.0 + now)
        orders = self.planner.take_changes().orders
        return [order for order in orders if isinstance(order, StartOrder)]

    def _request(self, now: float) -> AdviceRequest:
        """Return the only request of a pass."""
        self.assertEqual([], self._plan(now))
        (request,) = self.planner.take_advice_requests()
        return request

    def test_response_arrives_within_the_time_limit(self) -> None:
        """Guards against a queue without starts on a slow service.

        With a constant limit no request that names all workers is answered.
        """
        for number, (decision_s, per_worker_s) in enumerate(
            ((0.02, 0.01), (0.02, 0.12), (0.02, 0.7), (4.0, 0.01), (0.0, 0.0))
        ):
            terms = replace(
                _QUICK, decision_s=decision_s, per_worker_s=per_worker_s
            )
            self._admit(terms, id=f"{number:016x}")
            request = self._request(0.1)
            response_s = terms.response_s(len(request.workers))
            self.assertLess(response_s + 1.0, request.timeout_s)

    def test_a_response_does_not_take_most_of_the_workflows_time(self) -> None:
        """Guards against late starts because of workers nobody needs."""
        self._admit(replace(_QUICK, per_worker_s=0.12))
        request = self._request(0.1)
        self.assertIn(len(request.workers), range(1, 9))

    def test_request_that_timed_out_is_smaller_and_waits_longer(self) -> None:
        """Guards against a request that times out again and again."""
        self._admit(_QUICK)
        now = 0.1
        previous = self._request(now)
        for _ in range(3):
            now += previous.timeout_s
            self.planner.handle_advice(previous, None, now)
            now += 1.0
            request = self._request(now)
            self.assertLess(len(request.workers), len(previous.workers))
            self.assertGreater(request.timeout_s, previous.timeout_s)
            previous = request

    def test_refused_request_is_repeated_as_it_was(self) -> None:
        """Guards against small requests after an outage of the service."""
        self._admit(_QUICK)
        request = self._request(0.1)
        self.planner.handle_advice(request, None, 0.2)
        self.assertEqual(request, self._request(1.0))

    def test_accepted_workflow_follows_a_new_manifest(self) -> None:
        """Guards against terms that were in force at the acceptance."""
        self._admit(None)
        before = self._request(0.1)
        self.planner.handle_advice(before, None, 0.2)
        slow = replace(_QUICK, per_worker_s=0.7)
        self.planner.set_ticket_terms({"bookings": slow})
        request = self._request(1.0)
        self.assertEqual(1, len(request.workers))
        self.assertGreater(request.timeout_s, 0.72)

    def test_queue_that_no_longer_needs_tickets(self) -> None:
        """Guards against a wait for tickets that nobody checks."""
        self._admit(None)
        self.planner.set_ticket_terms({"bookings": None})
        self.assertEqual(2, len(self._plan(0.1)))

    def test_queue_that_needs_tickets_after_the_acceptance(self) -> None:
        """Guards against starts that each worker rejects."""
        self.planner.admit(workflow_spec(), stored=True)
        self.planner.set_ticket_terms({"bookings": _QUICK})
        self._request(0.1)

    def test_tickets_of_short_validity_are_used(self) -> None:
        """Guards against a margin that is longer than the validity."""
        self._admit(replace(_QUICK, validity_s=0.5))
        request = self._request(0.1)
        self.planner.handle_advice(request, {"w00": "t"}, 0.4)
        self.assertEqual(2, len(self._plan(0.45)))

    def test_start_with_an_expired_ticket_is_not_sent(self) -> None:
        """Guards against starts that are rejected after a slow commit."""
        self._admit(_QUICK, count=1)
        request = self._request(0.1)
        self.planner.handle_advice(request, {"w00": "t"}, 0.4)
        (start,) = self._plan(0.45)
        self.assertTrue(self.planner.should_send(start, 1.0))
        self.assertFalse(self.planner.should_send(start, 5.3))

    def test_gang_asks_for_all_its_workers_at_once(self) -> None:
        """Guards against tickets that expire before a gang has all."""
        terms = replace(_QUICK, per_worker_s=0.12)
        self._admit(terms, count=35, cpu_millis=4000, gang=True)
        request = self._request(0.1)
        self.assertEqual(35, len(request.workers))
        self.assertGreater(request.timeout_s, terms.response_s(35))

    def test_request_that_was_not_sent_is_made_again(self) -> None:
        """Guards against a step that waits for a request nobody has."""
        self._admit(_QUICK)
        request = self._request(0.1)
        self.planner.withdraw_advice_requests([request], 0.1)
        self.assertEqual(request, self._request(0.2))
