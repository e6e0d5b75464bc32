"""Tests of the tickets of the placement service."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.workflow.step_spec import StepSpec
from tests.planner.planners import new_planner
from tests.planner.planners import report
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec

_VALID_S = 3.0


class TicketCacheTest(TestCase):
    """Starts of tasks of a queue that needs tickets."""

    def setUp(self) -> None:
        """Admit a task that needs a ticket, with two usable workers."""
        super().setUp()
        self.planner = new_planner()
        self.planner.update_worker_list(
            [worker_record("w1"), worker_record("w2")], 0.0
        )
        for name in ("w1", "w2"):
            self.planner.handle_report(report(name), 0.0)
        spec = workflow_spec(StepSpec(1, cpu_millis=10), permit_s=_VALID_S)
        self.planner.admit(spec, stored=True)

    def _starts(self, now: float) -> list[StartOrder]:
        self.planner.plan(now, now)
        orders = self.planner.take_changes().orders
        return [order for order in orders if isinstance(order, StartOrder)]

    def _advise(self, tickets: dict[str, str] | None, now: float) -> None:
        (request,) = self.planner.take_advice_requests()
        self.planner.handle_advice(request, tickets, now)

    def test_task_waits_for_its_ticket(self) -> None:
        """Guards against a start without a ticket, which is rejected."""
        self.assertEqual([], self._starts(0.1))
        self._advise({"w2": "t"}, 0.2)
        (start,) = self._starts(0.2)
        self.assertEqual(("w2", "t"), (start.worker.id, start.ticket))

    def test_open_request_is_not_repeated_at_once(self) -> None:
        """Guards against repeated requests while one is open."""
        for now in (0.1, 0.2, 0.3):
            self._starts(now)
        self.assertEqual(1, len(self.planner.take_advice_requests()))

    def test_unanswered_request_is_repeated(self) -> None:
        """Guards against a step that waits forever for a lost answer."""
        self._starts(0.1)
        self._advise(None, 0.2)
        self.assertEqual([], self.planner.take_advice_requests())
        self._starts(0.5)
        self.assertEqual(1, len(self.planner.take_advice_requests()))

    def test_expired_ticket_is_not_used(self) -> None:
        """Guards against a start with an expired ticket."""
        self._starts(0.1)
        self._advise({"w1": "t"}, 0.1)
        self.planner.handle_report(report("w1"), _VALID_S)
        self.assertEqual([], self._starts(_VALID_S))

    def test_denied_worker_is_not_requested_again(self) -> None:
        """Guards against requests that cost time and yield no ticket."""
        self._starts(0.1)
        self._advise({}, 0.2)
        self._starts(1.0)
        self.assertEqual([], self.planner.take_advice_requests())

    def test_rejected_ticket_is_replaced(self) -> None:
        """Guards against a worker suspended because of a rejected ticket."""
        self._starts(0.1)
        self._advise({"w1": "t"}, 0.2)
        (start,) = self._starts(0.2)
        self.planner.handle_order_outcome(start, OrderOutcome.NO_PERMIT, 0.3)
        self.assertEqual([], self._starts(0.3))
        self._advise({"w1": "u"}, 0.4)
        (again,) = self._starts(0.4)
        self.assertEqual("u", again.ticket)
