"""Tests of the pace that best-effort tasks really have."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.fleet.order import PaceOrder
from carawaystep.fleet.order_outcome import OrderOutcome
from tests.planner.planners import BEST_EFFORT
from tests.planner.planners import new_planner
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import report
from tests.planner.planners import running
from tests.planner.planners import SERVING
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec

_GOOD_TAIL_MS = 50.0
_HARMED_TAIL_MS = 900.0
_HARMED_REPORT_TIMES_S = (1.0, 1.9, 2.8, 3.1)


class PaceOrdersTest(TestCase):
    """Orders that halt and resume a task beside a serving task."""

    def setUp(self) -> None:
        """Run a serving and a best-effort task on the only worker."""
        super().setUp()
        self._start_tasks()

    def _start_tasks(self) -> None:
        self.planner = new_planner()
        self.planner.update_worker_list([worker_record("w1")], 0.0)
        self.planner.handle_report(report("w1"), 0.0)
        self.specs = (
            workflow_spec(SERVING, id="a" * 16),
            workflow_spec(BEST_EFFORT, id="b" * 16),
        )
        self.starts = []
        for spec in self.specs:
            self.planner.admit(spec, False)
            self.starts.extend(plan_and_take_starts(self.planner))

    def _report(self, now: float, tail_ms: float) -> None:
        serving, best_effort = self.starts
        reported_runs = [
            running(serving, 100.0, tail_ms),
            running(best_effort, 80.0),
        ]
        self.planner.handle_report(report("w1", reported_runs), now)

    def _take_pace_orders(self) -> list[PaceOrder]:
        return [
            order
            for order in self.planner.take_immediate_orders()
            if isinstance(order, PaceOrder)
        ]

    def _take_paces(self) -> list[int]:
        return [order.pace_percent for order in self._take_pace_orders()]

    def _halt(self) -> PaceOrder:
        """Report harm until the best-effort task is halted."""
        for now in _HARMED_REPORT_TIMES_S:
            self._report(now, _HARMED_TAIL_MS)
        order = self._take_pace_orders()[-1]
        self.assertEqual(0, order.pace_percent)
        return order

    def _restart_leader(self, now: float) -> None:
        """Replace the planner by that of a new term."""
        records = {
            workflow_id: workflow.record()
            for workflow_id, workflow in self.planner.workflows.items()
        }
        self.planner = new_planner(now)
        for spec in self.specs:
            self.planner.restore(spec, records[spec.id])
        self.planner.update_worker_list([worker_record("w1")], 0.0)

    def test_task_that_an_earlier_leader_halted_resumes(self) -> None:
        """Guards against a task that stays halted for good.

        Reports do not tell the pace of a run, and no leader stores it.
        """
        self._halt()
        self._restart_leader(10.0)
        self._report(10.5, _GOOD_TAIL_MS)
        self.assertEqual([100], self._take_paces())

    def test_pace_is_ordered_once_in_a_term(self) -> None:
        """Guards against an order for each run with each report."""
        self._restart_leader(10.0)
        self._report(10.5, _GOOD_TAIL_MS)
        (order,) = self._take_pace_orders()
        self.planner.handle_order_outcome(order, OrderOutcome.DONE, 10.6)
        self._report(12.0, _GOOD_TAIL_MS)
        self.assertEqual([], self._take_paces())

    def test_run_that_a_new_leader_cannot_find_gets_no_pace(self) -> None:
        """Guards against orders for runs that never started."""
        self._restart_leader(10.0)
        self.planner.handle_report(report("w1"), 10.5)
        self.assertEqual([], self._take_paces())

    def test_halt_that_failed_is_repeated(self) -> None:
        """Guards against harm that goes on because an order was lost."""
        for outcome in (OrderOutcome.UNKNOWN, OrderOutcome.NOT_SENT):
            self._start_tasks()
            order = self._halt()
            self.planner.handle_order_outcome(order, outcome, 4.0)
            self._report(4.2, _HARMED_TAIL_MS)
            self.assertEqual([0], self._take_paces())

    def test_pace_is_ordered_again_after_a_late_order(self) -> None:
        """Guards against an older halt that a worker carries out late.

        A worker may carry out an order without an answer seconds later,
        after newer ones.
        """
        halt = self._halt()
        self.planner.handle_order_outcome(halt, OrderOutcome.UNKNOWN, 4.0)
        ordered: list[int] = []
        for now in range(9, 40):
            self._report(float(now), _GOOD_TAIL_MS)
            orders = self._take_pace_orders()
            for order in orders:
                self.planner.handle_order_outcome(
                    order, OrderOutcome.DONE, now + 0.1
                )
            if orders:
                ordered.append(now)
        self.assertLessEqual(16, ordered[-1])
        self.assertGreater(25, ordered[-1])
        self.assertGreaterEqual(6, len(ordered))

    def test_resumption_that_failed_is_repeated(self) -> None:
        """Guards against a task that stays halted for good."""
        self._halt()
        self._report(9.0, _GOOD_TAIL_MS)
        self._report(10.0, _GOOD_TAIL_MS)
        order = self._take_pace_orders()[-1]
        self.assertLess(0, order.pace_percent)
        self.planner.handle_order_outcome(order, OrderOutcome.UNKNOWN, 11.0)
        self._report(11.5, _GOOD_TAIL_MS)
        self.assertEqual([order.pace_percent], self._take_paces())
